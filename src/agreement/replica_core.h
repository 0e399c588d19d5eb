// The state of a replica and its transitions. The core_*.cpp files implement one concern each.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agreement/entry_log.h"
#include "jackdawweir/agreement/replica.h"

namespace jackdawweir::agreement::internal {

// The writes that must be synced before a message is sent, since peers rely on what a reply
// acknowledges.
enum class send_after : std::uint8_t {
    Nothing,
    HardState,
    Everything,
};

class replica_core
{
public:
    replica_core(replica_settings settings, stored_state stored, const core::random_engine &engine);

    effects start(core::monotonic_time now);
    effects tick(core::monotonic_time now);
    effects receive(const message &received, core::monotonic_time now);
    effects propose(std::uint64_t proposal, std::string command, core::monotonic_time now);
    effects confirmRead(std::uint64_t read, core::monotonic_time now);
    void setSourceAddresses(std::vector<core::endpoint> sourceAddresses);
    effects persisted(std::uint64_t sequence, core::monotonic_time now);
    effects persistFailed(core::monotonic_time now);
    effects compact(std::uint64_t index, std::string state, core::monotonic_time now);

    replica_id id() const;
    replica_role role() const;
    std::uint64_t term() const;
    bool hasLease(core::monotonic_time now) const;
    const core::endpoint &leaderAddress() const;
    const entry_log &log() const;
    std::uint64_t commitIndex() const;

private:
    // The replication progress of a member, as known to the leader.
    struct progress {
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        // The boot count of the replies that `match` and `lastAckedSentAt` come from.
        std::uint64_t bootCount = 0;
        // When the newest request that the member answered was sent.
        std::optional<core::monotonic_time> lastAckedSentAt;
        std::optional<core::monotonic_time> lastSnapshotSent;
    };

    // The newest term and index that a member has acknowledged as synced. If it reports less after
    // a restart, its disk was rolled back.
    struct acknowledged_state {
        std::uint64_t term = 0;
        std::uint64_t match = 0;
    };

    struct join_request {
        core::endpoint address;
        core::monotonic_time lastContact;
    };

    struct pending_persist {
        std::uint64_t sequence = 0;
        bool hasHardState = false;
        std::uint64_t lastIndex = 0;
    };

    struct outgoing {
        send_after requirement = send_after::Nothing;
        send_message sent;
    };

    struct held_message {
        std::uint64_t sequence = 0;
        send_message sent;
    };

    struct reported_role {
        replica_role role = replica_role::Starting;
        std::uint64_t term = 0;
        core::endpoint leader;

        friend bool operator==(const reported_role &, const reported_role &) = default;
    };

    // Inputs and effects (core_inputs.cpp).
    effects takeEffects();
    void emitPersist();
    void releaseMessages();
    void reportRole();
    void send(const core::endpoint &to, message body, send_after requirement);
    message_header headerTo(replica_id to) const;
    void markHardStateChanged();
    void markEntriesChanged(std::uint64_t from);
    void advanceCommit(std::uint64_t index);
    std::uint64_t durableCommitIndex() const;
    void stop();

    // Elections (core_election.cpp).
    void handle(const vote_request &request, core::monotonic_time now);
    void handle(const vote_reply &reply, core::monotonic_time now);
    void startPreVote(core::monotonic_time now);
    void startElection(core::monotonic_time now);
    void requestVotes(bool isPreVote);
    void countVotes(core::monotonic_time now);
    bool mayVoteFor(const vote_request &request, core::monotonic_time now) const;
    bool mayBecomeCandidate() const;
    bool hasLeaderContact(core::monotonic_time now) const;
    void becomeFollower(std::uint64_t term, const core::endpoint &leader);
    void resetElectionDeadline(core::monotonic_time now);

    // Following (core_follower.cpp).
    void handle(const append_request &request, core::monotonic_time now);
    void handle(const snapshot_request &request, core::monotonic_time now);
    bool followSender(const message_header &header,
                      std::chrono::nanoseconds sentAt,
                      core::monotonic_time now);
    bool appendMissing(const append_request &request);
    void replyToAppend(const message_header &header,
                       std::chrono::nanoseconds sentAt,
                       bool isAccepted,
                       std::uint64_t matchIndex,
                       send_after requirement);

    // Leading (core_leader.cpp).
    void handle(const append_reply &reply, core::monotonic_time now);
    void becomeLeader(core::monotonic_time now);
    void tickAsLeader(core::monotonic_time now);
    void trackMembers();
    void appendAsLeader(entry_kind kind, std::string payload);
    void replicate(core::monotonic_time now);
    void sendEntries(const member &to, core::monotonic_time now);
    void sendSnapshot(const member &to, progress &peer, core::monotonic_time now);
    void commitByCounting();
    bool
    hasContactWithin(replica_id id, std::chrono::nanoseconds limit, core::monotonic_time now) const;
    bool hasQuorumContactWithin(std::chrono::nanoseconds limit, core::monotonic_time now) const;
    bool hasQuorumContact(core::monotonic_time now) const;

    // Starts of replicas and the check for a rolled-back disk (core_boot.cpp).
    void handle(const boot_notice &notice, core::monotonic_time now);
    void handle(const boot_reply &reply, core::monotonic_time now);
    bool isBootNoticeDue(core::monotonic_time now) const;
    void sendBootNotices(core::monotonic_time now);
    std::string rejectionOf(const boot_notice &notice) const;
    const boot_record *findBoot(replica_id id) const;
    bool isFromEarlierStart(const message_header &header) const;
    void recordBoot(const boot_record &seen);
    void recordBoots(const std::vector<boot_record> &seen);
    void recordAcknowledged(replica_id id, std::uint64_t term, std::uint64_t match);
    bool hasEnoughReplies(const membership &members) const;
    log_position voteFloor(const membership &newest) const;
    bool isBehindVoteFloor() const;
    void endVoteFloorIfDue(core::monotonic_time now);
    bool isWaitForPeersOver(core::monotonic_time now) const;
    bool isSoleVoterWaiting(core::monotonic_time now) const;
    void tryConfirmStart(core::monotonic_time now);

    // Membership changes (core_membership.cpp).
    void reconcileMembership(core::monotonic_time now);
    bool mayChangeMembership(core::monotonic_time now) const;
    bool isAnswering(const member &each, core::monotonic_time now) const;
    bool isReadyLearner(const member &each, core::monotonic_time now) const;
    std::optional<membership> withoutReplaced(core::monotonic_time now) const;
    std::optional<membership> withoutUnreachable(core::monotonic_time now) const;
    std::optional<membership> withPromoted(core::monotonic_time now) const;
    std::optional<membership> withAdmitted(core::monotonic_time now) const;
    bool isReplacedBy(const member &old, const member &successor, core::monotonic_time now) const;

    replica_settings m_settings;
    core::random_engine m_engine;
    hard_state m_hard;
    entry_log m_log;

    replica_role m_role = replica_role::Follower;
    bool m_isStopped = false;
    bool m_isPreVote = false;
    core::endpoint m_leader;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_persistedIndex = 0;
    bool m_isSnapshotWanted = false;

    core::monotonic_time m_now;
    core::monotonic_time m_lastPersist;
    core::monotonic_time m_electionDeadline;
    core::monotonic_time m_lastLeaderContact;

    // Candidate: the voters that granted their vote, each with the boot count it granted in.
    std::map<replica_id, std::uint64_t> m_votes;

    // Leader.
    std::map<replica_id, progress> m_progress;
    std::map<replica_id, join_request> m_joinRequests;
    core::monotonic_time m_leaderSince;
    core::monotonic_time m_lastHeartbeat;
    std::uint64_t m_termStartIndex = 0;

    // The check for a rolled-back disk.
    bool m_isNewIdentity = false;
    core::monotonic_time m_startedAt;
    bool m_isStartConfirmed = false;
    std::uint64_t m_nonce = 0;
    core::monotonic_time m_lastBootNotice;
    std::map<replica_id, boot_reply> m_bootReplies;
    // No vote is granted up to this term: the replica may have voted in it before its disk was
    // rolled back.
    std::uint64_t m_noVoteThroughTerm = 0;
    // No vote is granted to a candidate whose log ends before this position: the replica may have
    // acknowledged entries up to here before its disk was rolled back. In force for a time after
    // the start.
    log_position m_voteFloor;
    std::map<replica_id, acknowledged_state> m_acknowledged;

    // The effects and changes of the current input.
    effects m_effects;
    std::vector<outgoing> m_outgoing;
    bool m_hardStateChanged = false;
    bool m_snapshotChanged = false;
    std::optional<std::uint64_t> m_firstChangedIndex;
    std::uint64_t m_lastSequence = 0;
    std::deque<pending_persist> m_pendingPersists;
    std::deque<held_message> m_heldMessages;
    std::optional<reported_role> m_reportedRole;
};

} // namespace jackdawweir::agreement::internal
