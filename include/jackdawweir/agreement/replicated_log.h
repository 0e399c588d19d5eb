// Drives one replica: opens its data folder, writes and syncs its state, applies committed commands
// to a state machine, and completes proposals and confirmed reads.
//
//     replicated_log log(settings, clock, hooks);
//     core::status opened = log.open();
//     log.tick(now);                                   // every replica_settings::tickInterval
//     log.handle(message, now);
//     log.propose(command, [](const core::result<log_position> &decided) { ... });
//
// All calls run on one event loop; the hook `post` queues a function on that loop.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jackdawweir/agreement/replica.h"
#include "jackdawweir/agreement/replica_store.h"
#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/storage/store.h"

namespace jackdawweir::agreement {

// An event for the log of the process.
struct log_event {
    // The name of the event, in lower case with hyphens.
    std::string name;
    std::string step;
    std::string peer;
    std::vector<std::pair<std::string, std::string>> fields;
    std::optional<core::error> failure;
};

// Adds the content of an event to an event builder of the process.
template<typename Builder>
void describeEvent(const log_event &event, Builder &builder)
{
    builder.step(event.step).peer(event.peer);
    if (event.failure) {
        builder.failure(*event.failure);
    }
    for (const auto &[key, value] : event.fields) {
        builder.field(key, value);
    }
}

struct replicated_log_hooks {
    std::function<void(const core::endpoint &to, const message &sent)> send;
    std::function<void(std::function<void()>)> post;
    // Applies a committed command. Entries come in order, each once.
    std::function<void(const entry &committed)> apply;
    // Returns the complete state of the state machine, for a snapshot.
    std::function<std::string()> encodeState;
    // Replaces the state with that of a snapshot whose last entry has this index.
    std::function<core::status(std::string_view state, std::uint64_t index)> restoreState;
    // Clears the state, before each start of a replica.
    std::function<void()> resetState;
    std::function<void(bool leads)> leadershipChanged;
    std::function<void(const log_event &event)> recordEvent;
};

struct replicated_log_settings {
    storage::store_opener openFiles;
    replica_settings replica;
    // The pause before the files are opened again after a write or sync has failed, for example
    // because the disk was full.
    std::chrono::milliseconds reopenInterval{500};
    // The seed of the identities and of the election timeouts; drawn at random if empty.
    std::optional<std::uint64_t> seed;
};

// Called once the command is committed and applied. Errors: NotLeader if this replica holds no
// leader lease; ResourceExhausted if the command is too large; Unavailable if the log is not open
// or another entry replaced the command.
using decided_handler = std::function<void(const core::result<log_position> &)>;

// Called once the state is confirmed to be the newest. Errors: NotLeader, Unavailable.
using confirmed_handler = std::function<void(const core::status &)>;

class replicated_log
{
public:
    replicated_log(replicated_log_settings settings,
                   const core::clock &clock,
                   replicated_log_hooks hooks);

    // Opens the data folder and starts the replica. A damaged folder is discarded and the replica
    // starts under a new identity. If the folder takes no bytes, for example on a full disk, the
    // replica starts later. Errors: Unavailable if the folder can't be opened.
    core::status open();

    // Makes this replica the only voter. Errors: Conflict if it is already a member of a
    // deployment; Unavailable, also until the replica has started.
    core::status init();

    void setSourceAddresses(const std::vector<core::endpoint> &sourceAddresses);

    void handle(const message &received, core::monotonic_time now);
    void tick(core::monotonic_time now);
    void propose(std::string command, decided_handler done);
    void confirmRead(confirmed_handler done);

    bool leads() const;
    core::endpoint leader() const;
    membership members() const;
    std::uint64_t term() const;

private:
    struct pending_proposal {
        std::optional<log_position> position;
        decided_handler done;
    };

    core::status openFiles();
    void startReplica();
    // Closes the files and opens them again after a pause.
    void scheduleReopen(const core::error &failure);
    void perform(const effects &wanted);
    void perform(const send_message &wanted);
    void perform(const persist &wanted);
    void perform(const committed_entries &wanted);
    void perform(const restore_snapshot &wanted);
    void perform(const proposal_appended &wanted);
    void perform(const proposal_refused &wanted);
    void perform(const read_confirmed &wanted);
    void perform(const read_refused &wanted);
    void perform(const role_changed &wanted);
    void perform(const snapshot_wanted &wanted);
    void perform(const identity_rejected &wanted);
    void perform(const start_unconfirmed &wanted);
    // Logs the number of voters, learners and removed identities. The loss of a disk is repaired
    // only once the log shows its old identity as removed. Until then that identity still counts
    // towards the quorum, and a second disk must not be lost.
    void logMembers(const entry &committed);
    void logError(const char *name, const core::error &failure);
    void completeProposals(const entry &committed);
    void flush();
    core::status writeAndSync();
    void restartUnderNewIdentity();
    // Starts the replica again from its files, as a restart of the process does. Without this, a
    // source whose disk was full once would never vote again.
    void reopen();
    // Fails the calls that the replica can no longer complete.
    void failPendingCalls();

    replicated_log_settings m_settings;
    const core::clock &m_clock;
    replicated_log_hooks m_hooks;
    core::random_engine m_engine;
    std::unique_ptr<storage::store> m_files;
    std::unique_ptr<replica_store> m_store;
    std::unique_ptr<replica> m_replica;
    // Effects that flush() writes together, so that many changes share one sync.
    std::vector<persist> m_unwritten;
    bool m_isFlushPosted = false;
    // When the files are opened again; empty while they are usable.
    std::optional<core::monotonic_time> m_reopenAt;
    std::uint64_t m_lastRequestNumber = 0;
    std::map<std::uint64_t, pending_proposal> m_proposals;
    std::map<std::uint64_t, confirmed_handler> m_reads;
    bool m_wasLeader = false;
};

} // namespace jackdawweir::agreement
