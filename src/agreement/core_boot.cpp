#include <algorithm>

#include "agreement/replica_core.h"

namespace jackdawweir::agreement::internal {

namespace {

// A voter that hears no leader for this many election timeouts asks whether it was removed.
constexpr int silenceBeforeNotice = 5;

// A disk rolled back to when its replica was the only voter needs no other vote. Its replica waits
// this many election timeouts for a peer that knows better.
constexpr int soleVoterWait = 5;

} // namespace

bool replica_core::needsNotice(core::monotonic_time now) const
{
    if (now - m_lastNotice < m_settings.bootNoticeInterval || m_role == replica_role::Leader) {
        return false;
    }
    if (!m_isTrusted) {
        return true;
    }
    const bool isVoter = m_log.members().isVoter(m_hard.id) && !isBehindVoteFloor();
    const std::chrono::nanoseconds limit
        = m_settings.electionTimeout * (isVoter ? silenceBeforeNotice : 1);
    const bool isAdmitted = m_log.members().find(m_hard.id) != nullptr;
    return !isAdmitted || now >= m_lastLeaderContact + limit;
}

void replica_core::sendNotices(core::monotonic_time now)
{
    m_lastNotice = now;
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

// Returns true for a message of an earlier start than one known: the disk may have been rolled back
// in between, so what it says may no longer hold.
bool replica_core::isOutdated(const message_header &header) const
{
    const boot_record *known = findBoot(header.from);
    return known != nullptr && header.bootCount < known->count;
}

std::string replica_core::judge(const boot_notice &notice) const
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
    const auto shown = m_evidence.find(from);
    if (shown == m_evidence.end()) {
        return {};
    }
    const bool isTermLost = notice.header.term < shown->second.term;
    const bool isEntryLost
        = notice.header.term == shown->second.term && notice.last.index < shown->second.match;
    return isTermLost || isEntryLost ? "a synced vote or entry is missing" : std::string();
}

void replica_core::handle(const boot_notice &notice, core::monotonic_time now)
{
    const replica_id from = notice.header.from;
    boot_reply reply;
    reply.nonce = notice.nonce;
    reply.rejection = judge(notice);
    if (reply.rejection.empty()) {
        learnBoot(boot_record{from, notice.header.bootCount, notice.nonce});
        if (m_role == replica_role::Leader && m_log.members().find(from) == nullptr) {
            m_applicants[from] = applicant{notice.header.fromAddress, now};
        }
    }
    reply.header = headerTo(from);
    reply.last = m_log.last();
    reply.membershipIndex = m_log.membershipIndex();
    reply.members = m_log.members();
    send(notice.header.fromAddress, reply, send_after::Everything);
}

void replica_core::learnBoots(const std::vector<boot_record> &learned)
{
    for (const boot_record &each : learned) {
        if (each.id != m_hard.id) {
            learnBoot(each);
        }
    }
}

void replica_core::learnBoot(const boot_record &learned)
{
    const boot_record *known = findBoot(learned.id);
    if (known != nullptr && learned.count <= known->count) {
        return;
    }
    const membership &members = m_log.members();
    std::erase_if(m_hard.peerBoots, [&](const boot_record &each) {
        return each.id == learned.id || members.wasRemoved(each.id);
    });
    m_hard.peerBoots.push_back(learned);
    markHardStateChanged();

    // What an earlier start has granted or acknowledged may be gone.
    const auto vote = m_votes.find(learned.id);
    if (vote != m_votes.end() && vote->second < learned.count) {
        m_votes.erase(vote);
    }
    const auto peer = m_progress.find(learned.id);
    if (peer != m_progress.end() && peer->second.bootCount < learned.count) {
        peer->second.match = 0;
        peer->second.lastEcho.reset();
        peer->second.bootCount = learned.count;
    }
}

void replica_core::rememberEvidence(replica_id id, std::uint64_t term, std::uint64_t match)
{
    evidence &shown = m_evidence[id];
    if (term > shown.term) {
        shown = evidence{term, match};
    } else if (term == shown.term) {
        shown.match = std::max(shown.match, match);
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
    if (m_isTrusted && !isBehindVoteFloor()) {
        return;
    }
    const core::endpoint &address = reply.header.fromAddress;
    std::erase_if(m_bootReplies, [&address](const auto &each) {
        return each.second.header.fromAddress == address;
    });
    m_bootReplies[reply.header.from] = reply;
    // The floor may be an entry that was never committed and that its only holder has lost since,
    // so it is taken again from the newest replies.
    m_isTrusted = false;
    evaluateTrust(now);
}

bool replica_core::isBehindVoteFloor() const
{
    return m_log.last() < m_voteFloor;
}

// Returns whether so many other voters answered that every majority this replica was ever part of
// has one of them. A voter whose address now has another identity has lost its disk and can never
// answer; waiting for it would block the repair.
bool replica_core::enoughReplies(const membership &members) const
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
    const std::size_t shared = members.voters().size() - members.quorum() + 1;
    return answered >= std::min(shared, reachable);
}

bool replica_core::isSoleVoterWaiting(core::monotonic_time now) const
{
    const std::size_t peers = m_settings.sourceAddresses.size() - 1;
    return m_log.members().voters().size() == 1 && m_bootReplies.size() < peers
        && now < m_startedAt + m_settings.electionTimeout * soleVoterWait;
}

// Returns the newest entry that this replica may have acknowledged together with a voter that
// answered. A learner's entries count in no majority.
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

void replica_core::evaluateTrust(core::monotonic_time now)
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
    const bool isConfirmed = !newest.members.empty() && enoughReplies(m_log.members())
        && enoughReplies(newest) && !isSoleVoterWaiting(now);
    if (!m_isNewIdentity && !isConfirmed) {
        return;
    }
    m_isTrusted = true;
    if (m_isNewIdentity) {
        return;
    }
    m_voteFloor = floor;
    if (term > m_hard.term) {
        becomeFollower(term, m_leader);
    }
    m_noVoteThroughTerm = m_hard.term;
    resetElectionDeadline(now);
}

} // namespace jackdawweir::agreement::internal
