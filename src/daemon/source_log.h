// Drives the replicated log of a source: persists, applies what is committed, and answers proposals
// and confirmed reads.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/event_loop.h"
#include "daemon/process_context.h"
#include "jackdawweir/agreement/replica.h"
#include "jackdawweir/agreement/replica_store.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/source/state_machine.h"
#include "jackdawweir/storage/store.h"

namespace jackdawweir::daemon {

struct log_observer {
    // A new version or a restored snapshot is in the state.
    std::function<void()> changed;
    std::function<void(bool leads)> leadershipChanged;
};

// Called with the result once the command is committed. Errors: NotLeader where it was not taken;
// Unavailable where another entry took its place.
using proposal_handler = std::function<void(const core::result<source::apply_result> &)>;

// Called with the newest committed version. Errors: NotLeader, Unavailable.
using read_handler = std::function<void(const core::result<core::config_version> &)>;

// Lives on the source's loop.
class source_log
{
public:
    source_log(process_context &context, event_loop &loop, mesh_send send, log_observer observer);

    // Opens the data folder and starts the replica. A damaged folder is discarded and the replica
    // starts under a new identity. Errors: Unavailable.
    core::status open();

    // Makes this source the only voter. Errors: Conflict where it belongs to a deployment already;
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
    struct waiting_proposal {
        std::optional<agreement::log_position> position;
        proposal_handler done;
    };

    core::status startReplica();
    core::status openFiles();
    void perform(const agreement::effects &wanted);
    void perform(const agreement::send_message &wanted);
    void perform(const agreement::persist &wanted);
    void perform(const agreement::committed_entries &wanted);
    void perform(const agreement::restore_snapshot &wanted);
    void perform(const agreement::proposal_appended &wanted);
    void perform(const agreement::proposal_refused &wanted);
    void perform(const agreement::read_confirmed &wanted);
    void perform(const agreement::read_refused &wanted);
    void perform(const agreement::role_changed &wanted);
    void perform(const agreement::snapshot_wanted &wanted);
    void perform(const agreement::identity_rejected &wanted);
    void apply(const agreement::entry &committed);
    // A lost disk is repaired, and a second source may be lost, only once this shows the old
    // identity as removed; until then it still counts in the majority.
    void recordMembers(const agreement::entry &committed);
    void settleProposals(const agreement::entry &committed, const source::apply_result &applied);
    void flush();
    core::status writePending();
    void restartUnderNewIdentity();

    process_context &m_context;
    event_loop &m_loop;
    mesh_send m_send;
    log_observer m_observer;
    core::random_engine m_engine;
    std::unique_ptr<storage::store> m_files;
    std::unique_ptr<agreement::replica_store> m_store;
    std::unique_ptr<agreement::replica> m_replica;
    source::state_machine m_state;
    // Written and synced together, so that many changes cost one sync.
    std::vector<agreement::persist> m_unwritten;
    bool m_isFlushPosted = false;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, waiting_proposal> m_proposals;
    std::map<std::uint64_t, read_handler> m_reads;
    bool m_led = false;
};

} // namespace jackdawweir::daemon
