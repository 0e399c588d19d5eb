// One replica of the replicated log, as a deterministic state machine. The driver passes it the
// time, messages, proposals and completed syncs, and carries out the effects that it returns.
//
//     core::result<stored_state> stored = replica_store.load();
//     replica self(settings, core::valueIn(stored), engine);
//     run(self.start(now));
//     ...
//     run(self.tick(now));                       // every tickInterval
//     run(self.receive(message, now));
//     run(self.propose(proposalNumber, command, now));
//     run(self.persisted(sequence, now));        // after the sync of a persist effect

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "jackdawweir/agreement/effect.h"
#include "jackdawweir/agreement/entry.h"
#include "jackdawweir/agreement/membership.h"
#include "jackdawweir/agreement/message.h"
#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"

namespace jackdawweir::agreement {

struct replica_settings {
    core::endpoint address;
    // The addresses of all sources, including this one. A new identity is admitted only at one of
    // these addresses.
    std::vector<core::endpoint> sourceAddresses;

    std::chrono::milliseconds tickInterval{20};
    std::chrono::milliseconds heartbeatInterval{100};
    // A follower becomes a candidate if it receives nothing from a leader for a random time
    // between this and twice this.
    std::chrono::milliseconds electionTimeout{600};
    // Shorter than the election timeout, to allow for clocks that run at different speeds.
    std::chrono::milliseconds leaseDuration{450};
    std::chrono::milliseconds bootNoticeInterval{200};
    // A voter that has not answered for this long is removed from the members, provided that at
    // least minVotersKept voters still answer. Its host may have failed permanently, and such a
    // voter would otherwise count towards the quorum forever. A learner that is ready counts as one
    // of these voters; the unreachable one is then removed sooner, before the learner is promoted.
    // Zero disables the removal. A voter that returns later joins under a new identity.
    std::chrono::milliseconds removeUnreachableAfter{0};
    std::size_t minVotersKept = 3;
    // A snapshot is requested after this many entries or bytes, whichever comes first. Documents
    // may be 1 MiB each, so a limit on entries alone would let the log exceed the memory of a small
    // host.
    std::uint64_t entriesBeforeSnapshot = 1024;
    std::size_t bytesBeforeSnapshot = 8U << 20U;
    // An append request carries entries up to this total size, or a single larger entry.
    std::size_t maxAppendBytes = 1U << 20U;
    // A larger command is refused, since the message that carries it must fit into a frame.
    std::size_t maxCommandBytes = 8U << 20U;
};

namespace internal {
class replica_core;
} // namespace internal

class replica
{
public:
    // The engine generates the identity for an empty data folder, the nonce of this start and the
    // random election timeouts.
    replica(replica_settings settings, stored_state stored, const core::random_engine &engine);
    replica(const replica &) = delete;
    replica &operator=(const replica &) = delete;
    ~replica();

    // Must be called once, before any other input.
    effects start(core::monotonic_time now);
    effects tick(core::monotonic_time now);
    effects receive(const message &received, core::monotonic_time now);

    // Answered by proposal_appended or proposal_refused with the caller's number.
    effects propose(std::uint64_t proposal, std::string command, core::monotonic_time now);

    // Answered by read_confirmed or read_refused with the caller's number.
    effects confirmRead(std::uint64_t read, core::monotonic_time now);

    // Replaces the addresses of all sources, for deployments in which hosts are added and removed
    // at run time. The replica's own address is always included.
    void setSourceAddresses(std::vector<core::endpoint> sourceAddresses);

    effects persisted(std::uint64_t sequence, core::monotonic_time now);
    // The write or sync failed. The replica permanently stops accepting entries, voting and
    // leading; the driver may start another one from the files.
    effects persistFailed(std::uint64_t sequence, core::monotonic_time now);

    // The driver's response to snapshot_wanted, with the state after the entry at `index`.
    effects compact(std::uint64_t index, std::string state, core::monotonic_time now);

    replica_id id() const;
    replica_role role() const;
    std::uint64_t term() const;
    bool hasLease(core::monotonic_time now) const;
    core::endpoint leaderAddress() const;
    membership members() const;
    std::uint64_t commitIndex() const;
    log_position lastPosition() const;

private:
    std::unique_ptr<internal::replica_core> m_core;
};

} // namespace jackdawweir::agreement
