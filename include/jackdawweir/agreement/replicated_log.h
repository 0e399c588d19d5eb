// Drives one replica: opens its data folder, persists and syncs, hands committed commands to a
// state machine, and answers proposals and confirmed reads.
//
//     replicated_log log(settings, clock, hooks);
//     core::status opened = log.open();
//     log.tick(now);                                   // every replica_settings::tickInterval
//     log.handle(message, now);
//     log.propose(command, [](const core::result<log_position> &decided) { ... });
//
// Runs on one loop; `post` of the hooks queues a function on that loop.

#pragma once

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

// Something that belongs in the log of the process.
struct log_event {
    // In lower case with hyphens.
    std::string name;
    std::string step;
    std::string peer;
    std::vector<std::pair<std::string, std::string>> fields;
    std::optional<core::error> failure;
};

// Adds a notice to an event builder of the process.
template<typename Builder>
void describeEvent(const log_event &noticed, Builder &builder)
{
    builder.step(noticed.step).peer(noticed.peer);
    if (noticed.failure) {
        builder.failure(*noticed.failure);
    }
    for (const auto &[key, value] : noticed.fields) {
        builder.field(key, value);
    }
}

struct replicated_log_hooks {
    std::function<void(const core::endpoint &to, const message &sent)> send;
    std::function<void(std::function<void()>)> post;
    // Applies a committed command. Entries come in order, each once.
    std::function<void(const entry &committed)> apply;
    // Returns the state machine's whole state, for a snapshot.
    std::function<std::string()> encodeState;
    // Replaces the state by one of a snapshot whose last entry has this index.
    std::function<core::status(std::string_view state, std::uint64_t index)> restoreState;
    // Empties the state, before a start under a new identity.
    std::function<void()> resetState;
    std::function<void(bool leads)> leadershipChanged;
    std::function<void(const log_event &noticed)> recordEvent;
};

struct replicated_log_settings {
    std::string folder;
    replica_settings replica;
};

// Called once the command is committed and applied. Errors: NotLeader where it was not taken;
// Unavailable where another entry took its place.
using decided_handler = std::function<void(const core::result<log_position> &)>;

// Called once the state is known to be the newest. Errors: NotLeader, Unavailable.
using confirmed_handler = std::function<void(const core::status &)>;

class replicated_log
{
public:
    replicated_log(replicated_log_settings settings,
                   const core::clock &clock,
                   replicated_log_hooks hooks);

    // Opens the data folder and starts the replica. A damaged folder is discarded and the replica
    // starts under a new identity. Errors: Unavailable.
    core::status open();

    // Makes this replica the only voter. Errors: Conflict where it belongs to a group already;
    // Unavailable.
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
    struct waiting_proposal {
        std::optional<log_position> position;
        decided_handler done;
    };

    core::status openFiles();
    void startReplica();
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
    // A lost disk is repaired, and a second one may be lost, only once this shows the old identity
    // as removed; until then it still counts in the majority.
    void noticeMembers(const entry &committed);
    void noticeError(const char *name, const core::error &failure);
    void settleProposals(const entry &committed);
    void flush();
    core::status writePending();
    void restartUnderNewIdentity();

    replicated_log_settings m_settings;
    const core::clock &m_clock;
    replicated_log_hooks m_hooks;
    core::random_engine m_engine;
    std::unique_ptr<storage::store> m_files;
    std::unique_ptr<replica_store> m_store;
    std::unique_ptr<replica> m_replica;
    // Written and synced together, so that many changes cost one sync.
    std::vector<persist> m_unwritten;
    bool m_isFlushPosted = false;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, waiting_proposal> m_proposals;
    std::map<std::uint64_t, confirmed_handler> m_reads;
    bool m_led = false;
};

} // namespace jackdawweir::agreement
