#include "agreement/replica_core.h"

namespace jackdawweir::agreement::internal {

bool replica_core::mayBecomeCandidate() const
{
    return m_isStartConfirmed && m_log.members().isVoter(m_hard.id) && !isBehindVoteFloor();
}

bool replica_core::hasLeaderContact(core::monotonic_time now) const
{
    return m_role == replica_role::Leader ? hasQuorumContact(now)
                                          : now < m_lastLeaderContact + m_settings.electionTimeout;
}

void replica_core::resetElectionDeadline(core::monotonic_time now)
{
    const std::chrono::nanoseconds shortest = m_settings.electionTimeout;
    std::uniform_int_distribution<std::chrono::nanoseconds::rep> draw(0, shortest.count());
    m_electionDeadline = now + shortest + std::chrono::nanoseconds(draw(m_engine));
}

void replica_core::becomeFollower(std::uint64_t term, const core::endpoint &leader)
{
    if (term > m_hard.term) {
        m_hard.term = term;
        m_hard.vote = replica_id{};
        markHardStateChanged();
    }
    m_role = replica_role::Follower;
    m_leader = leader;
    m_votes.clear();
}

// A pre-vote checks whether the election can be won before the term is incremented, so that a
// replica that returns from a network partition does not depose a working leader.
void replica_core::startPreVote(core::monotonic_time now)
{
    m_role = replica_role::Candidate;
    m_isPreVote = true;
    m_leader = core::endpoint{};
    m_votes.clear();
    resetElectionDeadline(now);
    requestVotes(true);
    countVotes(now);
}

void replica_core::startElection(core::monotonic_time now)
{
    m_isPreVote = false;
    ++m_hard.term;
    m_hard.vote = m_hard.id;
    markHardStateChanged();
    m_votes.clear();
    resetElectionDeadline(now);
    requestVotes(false);
}

void replica_core::requestVotes(bool isPreVote)
{
    for (const member &voter : m_log.members().voters()) {
        if (voter.id == m_hard.id) {
            continue;
        }
        vote_request request;
        request.header = headerTo(voter.id);
        request.isPreVote = isPreVote;
        request.last = m_log.last();
        send(voter.address, request, send_after::Everything);
    }
}

bool replica_core::mayVoteFor(const vote_request &request, core::monotonic_time now) const
{
    const bool isRemoved = m_log.members().wasRemoved(request.header.from);
    if (!m_isStartConfirmed || m_log.isEmpty() || isRemoved || hasLeaderContact(now)) {
        return false;
    }
    return request.last >= m_log.last() && request.last >= m_voteFloor;
}

void replica_core::handle(const vote_request &request, core::monotonic_time now)
{
    const std::uint64_t requestTerm = request.header.term + (request.isPreVote ? 1 : 0);
    // While this replica has contact with a leader, a vote request changes no state, not even the
    // term, because the leader's lease relies on that.
    if (!request.isPreVote && requestTerm > m_hard.term && !hasLeaderContact(now)) {
        becomeFollower(requestTerm, core::endpoint{});
    }
    bool isGranted = mayVoteFor(request, now) && requestTerm >= m_hard.term;
    if (request.isPreVote) {
        isGranted = isGranted && requestTerm > m_hard.term;
    } else {
        const bool isVoteAvailable = m_hard.vote.isNone() && m_hard.term > m_noVoteThroughTerm;
        isGranted = isGranted && requestTerm == m_hard.term
            && (isVoteAvailable || m_hard.vote == request.header.from);
    }
    if (isGranted && !request.isPreVote) {
        m_hard.vote = request.header.from;
        markHardStateChanged();
        resetElectionDeadline(now);
    }
    vote_reply reply;
    reply.header = headerTo(request.header.from);
    reply.isPreVote = request.isPreVote;
    reply.isGranted = isGranted;
    reply.requestTerm = requestTerm;
    reply.peerBoots = m_hard.peerBoots;
    send(request.header.fromAddress, reply, send_after::Everything);
}

void replica_core::handle(const vote_reply &reply, core::monotonic_time now)
{
    recordBoots(reply.peerBoots);
    if (reply.isGranted && !reply.isPreVote) {
        recordAcknowledged(reply.header.from, reply.requestTerm, 0);
    }
    if (reply.header.term > m_hard.term) {
        becomeFollower(reply.header.term, core::endpoint{});
        return;
    }
    const std::uint64_t requestedTerm = m_hard.term + (m_isPreVote ? 1 : 0);
    const bool isCurrent = m_role == replica_role::Candidate && reply.isPreVote == m_isPreVote
        && reply.requestTerm == requestedTerm;
    if (!isCurrent || !reply.isGranted) {
        return;
    }
    m_votes[reply.header.from] = reply.header.bootCount;
    countVotes(now);
}

void replica_core::countVotes(core::monotonic_time now)
{
    // The candidate's vote for itself counts only after it is synced.
    if (m_pendingPersists.empty() && !m_hardStateChanged) {
        m_votes[m_hard.id] = m_hard.bootCount;
    }
    const membership &members = m_log.members();
    std::size_t granted = 0;
    for (const auto &[voter, bootCount] : m_votes) {
        granted += members.isVoter(voter) ? 1 : 0;
    }
    if (granted < members.quorum()) {
        return;
    }
    if (m_isPreVote) {
        startElection(now);
    } else {
        becomeLeader(now);
    }
}

} // namespace jackdawweir::agreement::internal
