#include "jackdawweir/forwarding/workspace_shares.h"

#include <algorithm>
#include <cmath>

namespace jackdawweir::forwarding {

namespace {

double inSeconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

workspace_shares::workspace_shares(const workspace_share_settings &settings)
    : m_settings(settings)
{
}

double workspace_shares::decayed(const recent_work &work, core::monotonic_time now) const
{
    return work.seconds * std::exp(-inSeconds(now - work.updatedAt) / inSeconds(m_settings.memory));
}

void workspace_shares::add(recent_work &work, double seconds, core::monotonic_time now) const
{
    work.seconds = std::max(decayed(work, now) + seconds, 0.0);
    work.updatedAt = now;
}

void workspace_shares::charge(const weighted_workspace &workspace,
                              std::chrono::microseconds work,
                              core::monotonic_time now)
{
    if (workspace.name.empty()) {
        return;
    }
    forgetIdle(now);
    recent_work &charged = m_workspaces[workspace.name];
    // A new policy may change the weight of a workspace.
    const bool isNew = charged.chargedAt == core::monotonic_time{};
    m_totalWeight += workspace.weight - (isNew ? 0 : charged.weight);
    charged.weight = workspace.weight;
    charged.chargedAt = now;
    add(charged, inSeconds(work), now);
    add(m_total, inSeconds(work), now);
}

void workspace_shares::refund(const policy::workspace_name &workspace,
                              std::chrono::microseconds work,
                              core::monotonic_time now)
{
    const auto found = m_workspaces.find(workspace);
    if (found != m_workspaces.end()) {
        add(found->second, -inSeconds(work), now);
        add(m_total, -inSeconds(work), now);
    }
}

std::uint32_t workspace_shares::excessOf(const weighted_workspace &workspace,
                                         std::chrono::microseconds runTime,
                                         core::monotonic_time now) const
{
    const auto found = m_workspaces.find(workspace.name);
    if (found == m_workspaces.end()) {
        return 0;
    }
    const double share = found->second.weight / std::max(m_totalWeight, found->second.weight);
    const double permitted
        = m_settings.tolerance * share * decayed(m_total, now) + inSeconds(runTime);
    const double used = decayed(found->second, now);
    if (used <= permitted) {
        return 0;
    }
    const double excess = std::min<double>(used / permitted, m_settings.maxExcess);
    return static_cast<std::uint32_t>(excess);
}

std::size_t workspace_shares::size() const
{
    return m_workspaces.size();
}

void workspace_shares::forgetIdle(core::monotonic_time now)
{
    if (now - m_checkedAt < m_settings.memory) {
        return;
    }
    m_checkedAt = now;
    for (auto each = m_workspaces.begin(); each != m_workspaces.end();) {
        if (now - each->second.chargedAt < m_settings.idleAfter) {
            ++each;
            continue;
        }
        m_totalWeight -= each->second.weight;
        each = m_workspaces.erase(each);
    }
}

} // namespace jackdawweir::forwarding
