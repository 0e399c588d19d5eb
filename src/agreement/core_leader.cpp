#include <algorithm>
#include <functional>
#include <utility>

#include "agreement/replica_core.h"

namespace jackdawweir::agreement::internal {

void replica_core::becomeLeader(core::monotonic_time now)
{
    m_role = replica_role::Leader;
    m_leader = m_settings.address;
    m_leaderSince = now;
    m_progress.clear();
    m_joinRequests.clear();
    m_votes.clear();
    m_termStartIndex = m_log.last().index + 1;
    trackMembers();
    appendAsLeader(entry_kind::Empty, std::string());
    replicate(now);
}

// Sending to a new member starts at the end of the log; its first reply reports how far its log
// matches.
void replica_core::trackMembers()
{
    const membership &members = m_log.members();
    for (const member &each : members.members) {
        if (each.id != m_hard.id && !m_progress.contains(each.id)) {
            progress added;
            added.next = m_log.last().index + 1;
            m_progress.emplace(each.id, added);
        }
    }
    std::erase_if(m_progress,
                  [&members](const auto &each) { return members.find(each.first) == nullptr; });
}

void replica_core::appendAsLeader(entry_kind kind, std::string payload)
{
    const std::uint64_t index = m_log.last().index + 1;
    m_log.append(entry{m_hard.term, index, kind, std::move(payload)});
    markEntriesChanged(index);
}

void replica_core::tickAsLeader(core::monotonic_time now)
{
    if (!hasQuorumContact(now)) {
        becomeFollower(m_hard.term, core::endpoint{});
        resetElectionDeadline(now);
        return;
    }
    reconcileMembership(now);
    if (now - m_lastHeartbeat >= m_settings.heartbeatInterval) {
        replicate(now);
    }
}

void replica_core::replicate(core::monotonic_time now)
{
    m_lastHeartbeat = now;
    for (const member &each : m_log.members().members) {
        if (each.id != m_hard.id) {
            sendEntries(each, now);
        }
    }
}

void replica_core::sendEntries(const member &to, core::monotonic_time now)
{
    progress &peer = m_progress[to.id];
    append_request request;
    request.header = headerTo(to.id);
    request.sentAt = now.time_since_epoch();
    if (peer.next < m_log.firstIndex()) {
        sendSnapshot(to, peer, now);
    } else {
        request.previous = log_position{m_log.termAt(peer.next - 1).value_or(0), peer.next - 1};
        request.entries = m_log.slice(peer.next, m_settings.maxAppendBytes);
        request.commitIndex = m_commitIndex;
        peer.next += request.entries.size();
    }
    send(to.address, std::move(request), send_after::HardState);
}

void replica_core::sendSnapshot(const member &to, progress &peer, core::monotonic_time now)
{
    const bool isInFlight
        = peer.lastSnapshotSent && now < *peer.lastSnapshotSent + m_settings.electionTimeout;
    if (isInFlight) {
        return;
    }
    peer.lastSnapshotSent = now;
    snapshot_request request;
    request.header = headerTo(to.id);
    request.sent = *m_log.latestSnapshot();
    request.sentAt = now.time_since_epoch();
    send(to.address, std::move(request), send_after::HardState);
}

void replica_core::handle(const append_reply &reply, core::monotonic_time now)
{
    recordBoots(reply.peerBoots);
    if (reply.isCounted && reply.isAccepted) {
        recordAcknowledged(reply.header.from, reply.header.term, reply.matchIndex);
    }
    if (reply.header.term > m_hard.term) {
        becomeFollower(reply.header.term, core::endpoint{});
        return;
    }
    const auto found = m_progress.find(reply.header.from);
    const bool isCurrent = m_role == replica_role::Leader && reply.header.term == m_hard.term;
    if (!isCurrent || found == m_progress.end()) {
        return;
    }
    progress &peer = found->second;
    if (reply.header.bootCount > peer.bootCount) {
        peer.match = 0;
        peer.lastAckedSentAt.reset();
        peer.bootCount = reply.header.bootCount;
    }
    if (reply.isCounted) {
        const core::monotonic_time ackedSentAt{
            std::chrono::duration_cast<core::monotonic_time::duration>(reply.sentAt)};
        peer.lastAckedSentAt = std::max(peer.lastAckedSentAt.value_or(ackedSentAt), ackedSentAt);
    }
    if (!reply.isAccepted) {
        peer.next = std::max(std::min(peer.next, reply.matchIndex + 1), peer.match + 1);
    } else {
        peer.next = std::max(peer.next, reply.matchIndex + 1);
        if (reply.isCounted) {
            peer.match = std::max(peer.match, reply.matchIndex);
            commitByCounting();
        }
    }
    if (peer.next <= m_log.last().index) {
        sendEntries(*m_log.members().find(found->first), now);
    }
}

// Only entries of the leader's own term are committed by counting replicas: an entry of an earlier
// term that a majority holds can still be replaced by a later leader.
void replica_core::commitByCounting()
{
    const membership &members = m_log.members();
    std::vector<std::uint64_t> matches;
    for (const member &voter : members.voters()) {
        if (voter.id == m_hard.id) {
            matches.push_back(m_persistedIndex);
        } else {
            const auto found = m_progress.find(voter.id);
            matches.push_back(found == m_progress.end() ? 0 : found->second.match);
        }
    }
    if (matches.empty()) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t counted = matches[members.quorum() - 1];
    if (counted > m_commitIndex && m_log.termAt(counted) == m_hard.term) {
        advanceCommit(counted);
        replicate(m_now);
    }
}

bool replica_core::hasContactWithin(replica_id id,
                                    std::chrono::nanoseconds limit,
                                    core::monotonic_time now) const
{
    if (id == m_hard.id) {
        return true;
    }
    const auto found = m_progress.find(id);
    return found != m_progress.end() && found->second.lastAckedSentAt
        && now < *found->second.lastAckedSentAt + limit;
}

bool replica_core::hasQuorumContactWithin(std::chrono::nanoseconds limit,
                                          core::monotonic_time now) const
{
    const membership &members = m_log.members();
    std::size_t reachable = 0;
    for (const member &voter : members.voters()) {
        reachable += hasContactWithin(voter.id, limit, now) ? 1 : 0;
    }
    return reachable >= members.quorum();
}

// A new leader has one election timeout to receive replies from a majority.
bool replica_core::hasQuorumContact(core::monotonic_time now) const
{
    return now < m_leaderSince + m_settings.electionTimeout
        || hasQuorumContactWithin(m_settings.electionTimeout, now);
}

bool replica_core::hasLease(core::monotonic_time now) const
{
    return !m_isStopped && m_role == replica_role::Leader
        && hasQuorumContactWithin(m_settings.leaseDuration, now);
}

} // namespace jackdawweir::agreement::internal
