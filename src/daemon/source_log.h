// The replicated log of a source and the state machine of documents and moves that it replicates.

#pragma once

#include <functional>

#include "daemon/event_loop.h"
#include "daemon/process_context.h"
#include "jackdawweir/agreement/replicated_log.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/source/state_machine.h"

namespace jackdawweir::daemon {

struct log_observer {
    // Called when the state has a new version or was restored from a snapshot.
    std::function<void()> changed;
    std::function<void(bool leads)> leadershipChanged;
};

// Called with the result when the command is committed. Errors: NotLeader if the command was not
// accepted into the log; Unavailable if another entry replaced it.
using proposal_handler = std::function<void(const core::result<source::apply_result> &)>;

// Called with the newest committed version. Errors: NotLeader, Unavailable.
using read_handler = std::function<void(const core::result<core::config_version> &)>;

// Used only on the source's loop.
class source_log
{
public:
    source_log(process_context &context,
               event_loop &loop,
               const mesh_send &send,
               log_observer observer);

    // Errors: Unavailable.
    core::status open();

    // Makes this source the only voter. Errors: Conflict if it already belongs to a deployment;
    // Unavailable.
    core::status init();

    void handle(const agreement::message &received, core::monotonic_time now);
    void tick(core::monotonic_time now);

    void propose(const source::command &command, proposal_handler done);
    void confirmRead(read_handler done);

    bool leads() const;
    core::endpoint leader() const;
    const source::state_machine &state() const;

private:
    agreement::replicated_log_hooks hooks(event_loop &loop, const mesh_send &send);
    void apply(const agreement::entry &committed);

    process_context &m_context;
    log_observer m_observer;
    source::state_machine m_state;
    // The result of the most recently applied command.
    source::apply_result m_lastApplied;
    agreement::replicated_log m_log;
};

} // namespace jackdawweir::daemon
