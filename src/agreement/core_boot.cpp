#include <algorithm>

#include "agreement/replica_core.h"

namespace jackdawweir::agreement::internal {

namespace {

// A voter without contact with a leader for this many election timeouts sends a boot notice, to
// learn whether it was removed.
constexpr int electionTimeoutsBeforeNotice = 5;

// If a disk is rolled back to a state in which its replica was the only voter, the replica needs no
// other vote to become leader. It therefore waits this many election timeouts for a reply of a peer
// with newer members.
constexpr int electionTimeoutsForSoleVoter = 5;

// A replica waits this many election timeouts for its peers to confirm its start. They may be gone
// for good, and a disk that keeps what was synced needs no confirmation.
constexpr int electionTimeoutsForPeers = 2;

// The vote floor ends this many election timeouts after the start. Its only holder may be gone for
// good.
constexpr int electionTimeoutsForVoteFloor = 5;

} // namespace

bool replica_core::isBootNoticeDue(core::monotonic_time now) const
{
    if (now - m_lastBootNotice < m_settings.bootNoticeInterval || m_role == replica_role::Leader) {
        return false;
    }
    if (!m_isStartConfirmed) {
        return true;
    }
    const bool isVoter = m_log.members().isVoter(m_hard.id) && !isBehindVoteFloor();
    const std::chrono::nanoseconds limit
        = m_settings.electionTimeout * (isVoter ? electionTimeoutsBeforeNotice : 1);
    const bool isAdmitted = m_log.members().find(m_hard.id) != nullptr;
    return !isAdmitted || now >= m_lastLeaderContact + limit;
}

void replica_core::sendBootNotices(core::monotonic_time now)
{
    m_lastBootNotice = now;
    for (const core::endpoint &address : m_settings.sourceAddresses) {
        if (address == m_settings.address) {
            continue;
        }
        boot_notice notice;
        notice.header = headerTo(replica_id{});
        notice.nonce = m_nonce;
        notice.last = m_log.last();
        send(address, notice, send_after::HardState);
    }
}

const boot_record *replica_core::findBoot(replica_id id) const
{
    const auto found = std::find_if(m_hard.peerBoots.begin(),
                                    m_hard.peerBoots.end(),
                                    [id](const boot_record &each) { return each.id == id; });
    return found == m_hard.peerBoots.end() ? nullptr : &*found;
}

// Returns true if a later start of the sender is known. The sender's disk may have been rolled back
// between the two starts, so the content of the message may no longer hold.
bool replica_core::isFromEarlierStart(const message_header &header) const
{
    const boot_record *known = findBoot(header.from);
    return known != nullptr && header.bootCount < known->count;
}

// Returns why the sender of the notice must take a new identity; empty if it need not.
std::string replica_core::rejectionOf(const boot_notice &notice) const
{
    const replica_id from = notice.header.from;
    if (m_log.members().wasRemoved(from)) {
        return "the identity was removed from the members";
    }
    const boot_record *known = findBoot(from);
    if (known != nullptr && notice.header.bootCount <= known->count) {
        const bool isRepeated = *known == boot_record{from, notice.header.bootCount, notice.nonce};
        return isRepeated ? std::string() : "the boot count was seen before";
    }
    const auto acknowledged = m_acknowledged.find(from);
    if (acknowledged == m_acknowledged.end()) {
        return {};
    }
    const bool isTermLost = notice.header.term < acknowledged->second.term;
    const bool isEntryLost = notice.header.term == acknowledged->second.term
        && notice.last.index < acknowledged->second.match;
    return isTermLost || isEntryLost ? "a synced vote or entry is missing" : std::string();
}

void replica_core::handle(const boot_notice &notice, core::monotonic_time now)
{
    const replica_id from = notice.header.from;
    boot_reply reply;
    reply.nonce = notice.nonce;
    reply.rejection = rejectionOf(notice);
    if (reply.rejection.empty()) {
        recordBoot(boot_record{from, notice.header.bootCount, notice.nonce});
        if (m_role == replica_role::Leader && m_log.members().find(from) == nullptr) {
            m_joinRequests[from] = join_request{notice.header.fromAddress, now};
        }
    }
    reply.header = headerTo(from);
    reply.last = m_log.last();
    reply.membershipIndex = m_log.membershipIndex();
    reply.members = m_log.members();
    send(notice.header.fromAddress, reply, send_after::Everything);
}

void replica_core::recordBoots(const std::vector<boot_record> &seen)
{
    for (const boot_record &each : seen) {
        if (each.id != m_hard.id) {
            recordBoot(each);
        }
    }
}

void replica_core::recordBoot(const boot_record &seen)
{
    const boot_record *known = findBoot(seen.id);
    if (known != nullptr && seen.count <= known->count) {
        return;
    }
    const membership &members = m_log.members();
    std::erase_if(m_hard.peerBoots, [&](const boot_record &each) {
        return each.id == seen.id || members.wasRemoved(each.id);
    });
    m_hard.peerBoots.push_back(seen);
    markHardStateChanged();

    // Votes and acknowledgements of an earlier start may have been lost with its disk.
    const auto vote = m_votes.find(seen.id);
    if (vote != m_votes.end() && vote->second < seen.count) {
        m_votes.erase(vote);
    }
    const auto peer = m_progress.find(seen.id);
    if (peer != m_progress.end() && peer->second.bootCount < seen.count) {
        peer->second.match = 0;
        peer->second.lastAckedSentAt.reset();
        peer->second.bootCount = seen.count;
    }
}

void replica_core::recordAcknowledged(replica_id id, std::uint64_t term, std::uint64_t match)
{
    acknowledged_state &acknowledged = m_acknowledged[id];
    if (term > acknowledged.term) {
        acknowledged = acknowledged_state{term, match};
    } else if (term == acknowledged.term) {
        acknowledged.match = std::max(acknowledged.match, match);
    }
}

void replica_core::handle(const boot_reply &reply, core::monotonic_time now)
{
    if (reply.nonce != m_nonce) {
        return;
    }
    if (!reply.rejection.empty()) {
        stop();
        m_effects.emplace_back(identity_rejected{core::error{core::error_code::DataLoss,
                                                             "confirm-start",
                                                             reply.header.fromAddress.value,
                                                             reply.rejection}});
        return;
    }
    if (m_isStartConfirmed && !isBehindVoteFloor()) {
        return;
    }
    const core::endpoint &address = reply.header.fromAddress;
    std::erase_if(m_bootReplies, [&address](const auto &each) {
        return each.second.header.fromAddress == address;
    });
    m_bootReplies[reply.header.from] = reply;
    // The vote floor may be an entry that was never committed and that its only holder has lost
    // since. It is therefore computed again from the newest replies.
    m_isStartConfirmed = false;
    tryConfirmStart(now);
}

bool replica_core::isBehindVoteFloor() const
{
    return m_log.last() < m_voteFloor;
}

void replica_core::endVoteFloorIfDue(core::monotonic_time now)
{
    if (now >= m_startedAt + m_settings.electionTimeout * electionTimeoutsForVoteFloor) {
        m_voteFloor = log_position{};
    }
}

// Returns whether enough other voters have answered that every majority this replica was ever part
// of contains at least one of them. A voter whose address now has another identity has lost its
// disk and can never answer. It is left out, since waiting for it would block the repair.
bool replica_core::hasEnoughReplies(const membership &members) const
{
    std::size_t answered = 0;
    std::size_t reachable = 0;
    for (const member &voter : members.voters()) {
        if (voter.id == m_hard.id) {
            continue;
        }
        const bool hasAnswered = m_bootReplies.contains(voter.id);
        const bool isReplaced = voter.address == m_settings.address
            || std::any_of(m_bootReplies.begin(), m_bootReplies.end(), [&voter](const auto &each) {
                                    return each.second.header.fromAddress == voter.address;
                                });
        answered += hasAnswered ? 1 : 0;
        reachable += hasAnswered || !isReplaced ? 1 : 0;
    }
    const std::size_t needed = members.voters().size() - members.quorum() + 1;
    return answered >= std::min(needed, reachable);
}

bool replica_core::isWaitForPeersOver(core::monotonic_time now) const
{
    return now >= m_startedAt + m_settings.electionTimeout * electionTimeoutsForPeers;
}

bool replica_core::isSoleVoterWaiting(core::monotonic_time now) const
{
    const std::size_t peers = m_settings.sourceAddresses.size() - 1;
    return m_log.members().voters().size() == 1 && m_bootReplies.size() < peers
        && now < m_startedAt + m_settings.electionTimeout * electionTimeoutsForSoleVoter;
}

// Returns the position of the newest entry that this replica may have acknowledged together with a
// voter that answered. Entries of learners are left out, since they count towards no majority.
log_position replica_core::voteFloor(const membership &newest) const
{
    log_position floor;
    for (const auto &[peer, reply] : m_bootReplies) {
        if (m_log.members().isVoter(peer) || newest.isVoter(peer)) {
            floor = std::max(floor, reply.last);
        }
    }
    return floor;
}

// Marks the start as confirmed once enough peers have answered or the wait for them is over; a new
// identity needs no answers.
void replica_core::tryConfirmStart(core::monotonic_time now)
{
    membership newest = m_log.members();
    std::uint64_t newestIndex = m_log.membershipIndex();
    std::uint64_t term = m_hard.term;
    for (const auto &[peer, reply] : m_bootReplies) {
        if (reply.membershipIndex > newestIndex) {
            newest = reply.members;
            newestIndex = reply.membershipIndex;
        }
        term = std::max(term, reply.header.term);
    }
    const log_position floor = voteFloor(newest);
    const bool havePeersAnswered = hasEnoughReplies(m_log.members()) && hasEnoughReplies(newest);
    const bool isConfirmed = !newest.members.empty()
        && (havePeersAnswered || isWaitForPeersOver(now)) && !isSoleVoterWaiting(now);
    if (!m_isNewIdentity && !isConfirmed) {
        return;
    }
    m_isStartConfirmed = true;
    if (m_isNewIdentity) {
        return;
    }
    if (!havePeersAnswered) {
        m_effects.emplace_back(start_unconfirmed{m_bootReplies.size(), newest.voters().size()});
    }
    m_voteFloor = floor;
    if (term > m_hard.term) {
        becomeFollower(term, m_leader);
    }
    m_noVoteThroughTerm = m_hard.term;
    resetElectionDeadline(now);
}

} // namespace jackdawweir::agreement::internal
