#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "agreement/replica_core.h"

namespace jackdawweir::agreement::internal {

namespace {

std::uint64_t drawNonZero(core::random_engine &engine)
{
    std::uint64_t drawn = 0;
    while (drawn == 0) {
        drawn = engine();
    }
    return drawn;
}

// The commit index is written on its own if nothing else has been written for this long.
constexpr std::chrono::milliseconds commitRecordDelay{200};

core::error notLeading(const char *step, const core::endpoint &leader, const char *message)
{
    return core::error{core::error_code::NotLeader, step, leader.value, message};
}

} // namespace

replica_core::replica_core(replica_settings settings,
                           stored_state stored,
                           const core::random_engine &engine)
    : m_settings(std::move(settings))
    , m_engine(engine)
    , m_hard(std::move(stored.hard))
    , m_log(std::move(stored.latestSnapshot), std::move(stored.entries))
{
    m_commitIndex = m_log.firstIndex() - 1;
    m_persistedIndex = m_log.last().index;
}

effects replica_core::start(core::monotonic_time now)
{
    m_now = now;
    m_isNewIdentity = m_hard.id.isNone();
    if (m_isNewIdentity) {
        m_hard.id.value = drawNonZero(m_engine);
    }
    ++m_hard.bootCount;
    m_nonce = drawNonZero(m_engine);
    markHardStateChanged();
    // The replica may have answered a leader just before this restart. That leader's lease relies
    // on this replica not voting for an election timeout after its answer.
    m_startedAt = now;
    m_lastLeaderContact = now;
    resetElectionDeadline(now);
    if (m_log.latestSnapshot()) {
        m_effects.emplace_back(restore_snapshot{*m_log.latestSnapshot()});
    }
    advanceCommit(std::min(m_hard.committed, m_log.last().index));
    tryConfirmStart(now);
    sendBootNotices(now);
    return takeEffects();
}

effects replica_core::tick(core::monotonic_time now)
{
    m_now = now;
    if (m_isStopped) {
        return takeEffects();
    }
    if (!m_isStartConfirmed) {
        tryConfirmStart(now);
    }
    endVoteFloorIfDue(now);
    if (isBootNoticeDue(now)) {
        sendBootNotices(now);
    }
    if (durableCommitIndex() > m_hard.committed && now >= m_lastPersist + commitRecordDelay) {
        markHardStateChanged();
    }
    if (m_role == replica_role::Leader) {
        tickAsLeader(now);
    } else if (now >= m_electionDeadline && mayBecomeCandidate()) {
        startPreVote(now);
    }
    return takeEffects();
}

effects replica_core::receive(const message &received, core::monotonic_time now)
{
    m_now = now;
    const message_header &header = headerOf(received);
    const bool isForThis = header.to.isNone() || header.to == m_hard.id;
    // A notice with an old boot count must be answered, since the sender's disk may have been
    // rolled back.
    const bool isUsable
        = std::holds_alternative<boot_notice>(received) || !isFromEarlierStart(header);
    if (m_isStopped || !isForThis || header.from == m_hard.id || !isUsable) {
        return takeEffects();
    }
    std::visit([this, now](const auto &body) { handle(body, now); }, received);
    return takeEffects();
}

effects replica_core::propose(std::uint64_t proposal, std::string command, core::monotonic_time now)
{
    m_now = now;
    if (!hasLease(now)) {
        m_effects.emplace_back(proposal_refused{
            proposal, notLeading("propose", m_leader, "this source holds no leader lease")});
        return takeEffects();
    }
    if (command.size() > m_settings.maxCommandBytes) {
        m_effects.emplace_back(proposal_refused{
            proposal,
            core::error{core::error_code::ResourceExhausted,
                        "propose",
                        "",
                        absl::StrCat("command of ", command.size(), " bytes is too large")}});
        return takeEffects();
    }
    appendAsLeader(entry_kind::Command, std::move(command));
    m_effects.emplace_back(proposal_appended{proposal, m_log.last()});
    replicate(now);
    return takeEffects();
}

effects replica_core::confirmRead(std::uint64_t read, core::monotonic_time now)
{
    m_now = now;
    if (!hasLease(now)) {
        m_effects.emplace_back(read_refused{
            read, notLeading("confirm-read", m_leader, "this source holds no leader lease")});
    } else if (m_commitIndex < m_termStartIndex) {
        // Entries of earlier terms may be committed without this leader knowing it yet, so the read
        // could miss them.
        m_effects.emplace_back(
            read_refused{read,
                         core::error{core::error_code::Unavailable,
                                     "confirm-read",
                                     "",
                                     "the leader has committed nothing in its term yet"}});
    } else {
        m_effects.emplace_back(read_confirmed{read, m_commitIndex});
    }
    return takeEffects();
}

effects replica_core::persisted(std::uint64_t sequence, core::monotonic_time now)
{
    m_now = now;
    while (!m_pendingPersists.empty() && m_pendingPersists.front().sequence <= sequence) {
        m_persistedIndex = std::max(m_persistedIndex, m_pendingPersists.front().lastIndex);
        m_pendingPersists.pop_front();
    }
    if (m_isStopped) {
        return takeEffects();
    }
    while (!m_heldMessages.empty() && m_heldMessages.front().sequence <= sequence) {
        // A message of an earlier term is dropped, since its receiver must no longer count it.
        if (headerOf(m_heldMessages.front().sent.body).term == m_hard.term) {
            m_effects.emplace_back(std::move(m_heldMessages.front().sent));
        }
        m_heldMessages.pop_front();
    }
    if (m_role == replica_role::Leader) {
        commitByCounting();
    } else if (m_role == replica_role::Candidate) {
        countVotes(now);
    }
    return takeEffects();
}

effects replica_core::persistFailed(core::monotonic_time now)
{
    m_now = now;
    stop();
    return takeEffects();
}

effects replica_core::compact(std::uint64_t index, std::string state, core::monotonic_time now)
{
    m_now = now;
    m_isSnapshotWanted = false;
    if (m_isStopped || index < m_log.firstIndex() || index > m_commitIndex) {
        return takeEffects();
    }
    m_log.compact(index, std::move(state));
    m_snapshotChanged = true;
    return takeEffects();
}

void replica_core::stop()
{
    m_isStopped = true;
    m_role = replica_role::Follower;
    m_leader = core::endpoint{};
    m_heldMessages.clear();
    m_outgoing.clear();
    m_hardStateChanged = false;
    m_snapshotChanged = false;
    m_firstChangedIndex.reset();
}

effects replica_core::takeEffects()
{
    emitPersist();
    releaseMessages();
    reportRole();
    return std::exchange(m_effects, effects{});
}

void replica_core::emitPersist()
{
    if (!m_hardStateChanged && !m_snapshotChanged && !m_firstChangedIndex) {
        return;
    }
    persist batch;
    batch.sequence = ++m_lastSequence;
    m_lastPersist = m_now;
    if (m_hardStateChanged || m_snapshotChanged || durableCommitIndex() > m_hard.committed) {
        m_hard.committed = std::max(m_hard.committed, durableCommitIndex());
        batch.hard = m_hard;
    }
    if (m_snapshotChanged) {
        batch.latestSnapshot = m_log.latestSnapshot();
        batch.entries = m_log.between(m_log.firstIndex(), m_log.last().index);
    } else if (m_firstChangedIndex) {
        batch.entries = m_log.between(*m_firstChangedIndex, m_log.last().index);
    }
    const bool hasEntries = m_snapshotChanged || m_firstChangedIndex;
    m_pendingPersists.push_back(pending_persist{
        batch.sequence, batch.hard.has_value(), hasEntries ? m_log.last().index : 0});
    m_effects.emplace_back(std::move(batch));
    m_hardStateChanged = false;
    m_snapshotChanged = false;
    m_firstChangedIndex.reset();
}

void replica_core::releaseMessages()
{
    std::uint64_t hardSequence = 0;
    for (const pending_persist &each : m_pendingPersists) {
        hardSequence = each.hasHardState ? each.sequence : hardSequence;
    }
    const std::uint64_t lastSequence
        = m_pendingPersists.empty() ? 0 : m_pendingPersists.back().sequence;
    for (outgoing &each : m_outgoing) {
        const std::uint64_t awaited = each.requirement == send_after::Nothing ? 0
            : each.requirement == send_after::HardState                       ? hardSequence
                                                                              : lastSequence;
        if (awaited == 0) {
            m_effects.emplace_back(std::move(each.sent));
        } else {
            m_heldMessages.push_back(held_message{awaited, std::move(each.sent)});
        }
    }
    m_outgoing.clear();
    std::stable_sort(m_heldMessages.begin(),
                     m_heldMessages.end(),
                     [](const held_message &left, const held_message &right) {
                         return left.sequence < right.sequence;
                     });
}

void replica_core::reportRole()
{
    const reported_role current{role(), m_hard.term, m_leader};
    if (m_reportedRole != current) {
        m_reportedRole = current;
        m_effects.emplace_back(role_changed{current.role, current.term, current.leader});
    }
}

void replica_core::send(const core::endpoint &to, message body, send_after requirement)
{
    m_outgoing.push_back(outgoing{requirement, send_message{to, std::move(body)}});
}

message_header replica_core::headerTo(replica_id to) const
{
    return message_header{m_hard.id, m_settings.address, to, m_hard.bootCount, m_hard.term};
}

void replica_core::markHardStateChanged()
{
    m_hardStateChanged = true;
}

void replica_core::markEntriesChanged(std::uint64_t from)
{
    m_firstChangedIndex = std::min(m_firstChangedIndex.value_or(from), from);
}

void replica_core::advanceCommit(std::uint64_t index)
{
    if (index <= m_commitIndex) {
        return;
    }
    m_effects.emplace_back(committed_entries{m_log.between(m_commitIndex + 1, index)});
    m_commitIndex = index;
    const bool isLong = m_commitIndex + 1 - m_log.firstIndex() >= m_settings.entriesBeforeSnapshot
        || m_log.payloadBytes() >= m_settings.bytesBeforeSnapshot;
    if (isLong && !m_isSnapshotWanted) {
        m_isSnapshotWanted = true;
        m_effects.emplace_back(snapshot_wanted{m_commitIndex});
    }
}

// The entries of a batch may reach the disk after its commit index, or not at all. The stored index
// therefore covers only entries that were synced before.
std::uint64_t replica_core::durableCommitIndex() const
{
    return std::min(m_commitIndex, m_persistedIndex);
}

replica_id replica_core::id() const
{
    return m_hard.id;
}

replica_role replica_core::role() const
{
    if (m_isStopped) {
        return replica_role::Stopped;
    }
    if (!m_isStartConfirmed) {
        return replica_role::Starting;
    }
    const bool isVoter = m_log.members().isVoter(m_hard.id);
    return isVoter || m_role == replica_role::Leader ? m_role : replica_role::Learner;
}

std::uint64_t replica_core::term() const
{
    return m_hard.term;
}

const core::endpoint &replica_core::leaderAddress() const
{
    return m_leader;
}

const entry_log &replica_core::log() const
{
    return m_log;
}

std::uint64_t replica_core::commitIndex() const
{
    return m_commitIndex;
}

} // namespace jackdawweir::agreement::internal
