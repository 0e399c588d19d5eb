#include <algorithm>

#include "agreement/replica_core.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::agreement::internal {

namespace {

// An identity is removed in favour of another one at its address, or of a learner that is ready to
// take its place, after this many election timeouts without an answer.
constexpr int electionTimeoutsBeforeRemoval = 2;

void removeMember(membership &members, replica_id id)
{
    std::erase_if(members.members, [id](const member &each) { return each.id == id; });
    members.removed.push_back(id);
    if (members.removed.size() > membership::maxRemoved) {
        members.removed.erase(members.removed.begin());
    }
}

} // namespace

// A change is safe only after the previous change and an entry of the leader's own term are
// committed. Otherwise two leaders could count majorities that do not overlap.
bool replica_core::mayChangeMembership(core::monotonic_time now) const
{
    return hasLease(now) && m_commitIndex >= m_log.membershipIndex()
        && m_commitIndex >= m_termStartIndex;
}

// Makes at most one change, since changes of one member at a time keep the majorities overlapping.
void replica_core::reconcileMembership(core::monotonic_time now)
{
    if (!mayChangeMembership(now)) {
        return;
    }
    std::optional<membership> changed = withoutReplaced(now);
    if (!changed) {
        changed = withoutUnreachable(now);
    }
    if (!changed) {
        changed = withPromoted(now);
    }
    if (!changed) {
        changed = withAdmitted(now);
    }
    if (!changed) {
        return;
    }
    appendAsLeader(entry_kind::Membership, wire::encodeValue(*changed));
    trackMembers();
    replicate(now);
}

bool replica_core::isReplacedBy(const member &old,
                                const member &successor,
                                core::monotonic_time now) const
{
    const std::chrono::nanoseconds unreachableAfter
        = m_settings.electionTimeout * electionTimeoutsBeforeRemoval;
    const bool isSameAddress = old.address == successor.address && old.id != successor.id;
    const bool isUnreachable = now >= m_leaderSince + unreachableAfter
        && !hasContactWithin(old.id, unreachableAfter, now);
    const bool keepsVoters
        = old.role == member_role::Learner || successor.role == member_role::Voter;
    return isSameAddress && isUnreachable && keepsVoters
        && hasContactWithin(successor.id, m_settings.electionTimeout, now);
}

std::optional<membership> replica_core::withoutReplaced(core::monotonic_time now) const
{
    const membership &members = m_log.members();
    for (const member &old : members.members) {
        for (const member &successor : members.members) {
            if (isReplacedBy(old, successor, now)) {
                membership changed = members;
                removeMember(changed, old.id);
                return changed;
            }
        }
    }
    return std::nullopt;
}

bool replica_core::isAnswering(const member &each, core::monotonic_time now) const
{
    return hasContactWithin(each.id, m_settings.electionTimeout, now);
}

bool replica_core::isReadyLearner(const member &each, core::monotonic_time now) const
{
    const auto peer = m_progress.find(each.id);
    return each.role == member_role::Learner && peer != m_progress.end()
        && peer->second.match >= m_commitIndex && isAnswering(each, now);
}

// A learner that is ready takes the place of an unreachable voter, which is then removed sooner.
std::optional<membership> replica_core::withoutUnreachable(core::monotonic_time now) const
{
    if (m_settings.removeUnreachableAfter.count() == 0) {
        return std::nullopt;
    }
    const membership &members = m_log.members();
    std::size_t answeringVoters = 0;
    std::size_t readyLearners = 0;
    for (const member &each : members.members) {
        const bool isVoter = each.role == member_role::Voter;
        answeringVoters += isVoter && isAnswering(each, now) ? 1 : 0;
        readyLearners += isReadyLearner(each, now) ? 1 : 0;
    }
    if (answeringVoters + readyLearners < m_settings.minVotersKept) {
        return std::nullopt;
    }
    std::chrono::nanoseconds limit = m_settings.removeUnreachableAfter;
    if (readyLearners > 0) {
        limit = std::min<std::chrono::nanoseconds>(
            limit, m_settings.electionTimeout * electionTimeoutsBeforeRemoval);
    }
    if (now < m_leaderSince + limit) {
        return std::nullopt;
    }
    for (const member &each : members.voters()) {
        if (!hasContactWithin(each.id, limit, now)) {
            membership changed = members;
            removeMember(changed, each.id);
            return changed;
        }
    }
    return std::nullopt;
}

void replica_core::setSourceAddresses(std::vector<core::endpoint> sourceAddresses)
{
    m_settings.sourceAddresses = std::move(sourceAddresses);
    std::vector<core::endpoint> &addresses = m_settings.sourceAddresses;
    if (std::find(addresses.begin(), addresses.end(), m_settings.address) == addresses.end()) {
        addresses.push_back(m_settings.address);
    }
}

// A learner is not promoted beside a voter that does not answer, which is either back or removed
// soon: if it is gone for good, it would count towards the quorum beside its successor, and the
// next loss would leave no majority.
std::optional<membership> replica_core::withPromoted(core::monotonic_time now) const
{
    membership changed = m_log.members();
    const std::vector<member> voters = changed.voters();
    const bool removesUnreachable = m_settings.removeUnreachableAfter.count() > 0
        && voters.size() >= m_settings.minVotersKept;
    const bool doAllAnswer = std::all_of(
        voters.begin(), voters.end(), [&](const member &each) { return isAnswering(each, now); });
    if (removesUnreachable && !doAllAnswer) {
        return std::nullopt;
    }
    for (member &each : changed.members) {
        if (isReadyLearner(each, now)) {
            each.role = member_role::Voter;
            return changed;
        }
    }
    return std::nullopt;
}

std::optional<membership> replica_core::withAdmitted(core::monotonic_time now) const
{
    const membership &members = m_log.members();
    for (const auto &[id, request] : m_joinRequests) {
        const core::endpoint &address = request.address;
        const bool isConfigured = std::find(m_settings.sourceAddresses.begin(),
                                            m_settings.sourceAddresses.end(),
                                            address)
            != m_settings.sourceAddresses.end();
        const bool isCurrent = now < request.lastContact + m_settings.electionTimeout;
        // The address may have a member that answers; the request is then a delayed notice of a
        // lost identity, which must not be added beside it.
        const bool isTaken
            = std::any_of(members.members.begin(), members.members.end(), [&](const member &each) {
                  return each.address == address
                      && hasContactWithin(each.id, m_settings.electionTimeout, now);
              });
        const bool isKnown = members.find(id) != nullptr || members.wasRemoved(id);
        if (isConfigured && isCurrent && !isTaken && !isKnown) {
            membership changed = members;
            changed.members.push_back(member{id, address, member_role::Learner});
            return changed;
        }
    }
    return std::nullopt;
}

} // namespace jackdawweir::agreement::internal
