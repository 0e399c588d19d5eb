#include <algorithm>

#include "agreement/replica_core.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::agreement::internal {

namespace {

// An identity counts as replaced after this many election timeouts without an answer.
constexpr int silenceBeforeRemoval = 2;

void removeMember(membership &members, replica_id id)
{
    std::erase_if(members.members, [id](const member &each) { return each.id == id; });
    members.removed.push_back(id);
    if (members.removed.size() > membership::maxRemoved) {
        members.removed.erase(members.removed.begin());
    }
}

} // namespace

// A change is safe only after the change before it is committed, and after an entry of the own term
// is: else two leaders could count majorities of members that do not overlap.
bool replica_core::mayChangeMembership(core::monotonic_time now) const
{
    return hasLease(now) && m_commitIndex >= m_log.membershipIndex()
        && m_commitIndex >= m_termStartIndex;
}

void replica_core::reconcileMembership(core::monotonic_time now)
{
    if (!mayChangeMembership(now)) {
        return;
    }
    std::optional<membership> changed = withoutReplaced(now);
    if (!changed) {
        changed = withoutSilent(now);
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
    appendOwn(entry_kind::Membership, wire::encodeValue(*changed));
    trackMembers();
    replicate(now);
}

bool replica_core::isReplacedBy(const member &old,
                                const member &successor,
                                core::monotonic_time now) const
{
    const std::chrono::nanoseconds silence = m_settings.electionTimeout * silenceBeforeRemoval;
    const bool isSameAddress = old.address == successor.address && old.id != successor.id;
    const bool isSilent = now >= m_leaderSince + silence && !isRecent(old.id, silence, now);
    const bool keepsVoters
        = old.role == member_role::Learner || successor.role == member_role::Voter;
    return isSameAddress && isSilent && keepsVoters
        && isRecent(successor.id, m_settings.electionTimeout, now);
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

std::optional<membership> replica_core::withoutSilent(core::monotonic_time now) const
{
    const std::chrono::nanoseconds limit = m_settings.removeUnreachableAfter;
    if (limit.count() == 0 || now < m_leaderSince + limit) {
        return std::nullopt;
    }
    const membership &members = m_log.members();
    const std::vector<member> voters = members.voters();
    const auto answers = [&](const member &each) {
        return each.id == m_hard.id || isRecent(each.id, m_settings.electionTimeout, now);
    };
    const auto answering
        = static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), answers));
    if (answering < m_settings.minVotersKept) {
        return std::nullopt;
    }
    for (const member &each : voters) {
        if (each.id != m_hard.id && !isRecent(each.id, limit, now)) {
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
    std::vector<core::endpoint> &held = m_settings.sourceAddresses;
    if (std::find(held.begin(), held.end(), m_settings.address) == held.end()) {
        held.push_back(m_settings.address);
    }
}

std::optional<membership> replica_core::withPromoted(core::monotonic_time now) const
{
    membership changed = m_log.members();
    for (member &each : changed.members) {
        const auto peer = m_progress.find(each.id);
        const bool isReady = each.role == member_role::Learner && peer != m_progress.end()
            && peer->second.match >= m_commitIndex
            && isRecent(each.id, m_settings.electionTimeout, now);
        if (isReady) {
            each.role = member_role::Voter;
            return changed;
        }
    }
    return std::nullopt;
}

std::optional<membership> replica_core::withAdmitted(core::monotonic_time now) const
{
    const membership &members = m_log.members();
    for (const auto &[id, asking] : m_applicants) {
        const core::endpoint &address = asking.address;
        const bool isConfigured = std::find(m_settings.sourceAddresses.begin(),
                                            m_settings.sourceAddresses.end(),
                                            address)
            != m_settings.sourceAddresses.end();
        const bool isCurrent = now < asking.lastHeard + m_settings.electionTimeout;
        // A delayed notice of a lost identity must not compete with the one that answers.
        const bool isTaken
            = std::any_of(members.members.begin(), members.members.end(), [&](const member &each) {
                  return each.address == address
                      && isRecent(each.id, m_settings.electionTimeout, now);
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
