#include "jackdawweir/policy/workspace_directory.h"

namespace jackdawweir::policy {

workspace_directory::workspace_directory(const traffic_policy &policy)
    : m_workspaces(policy.workspaces)
{
    double totalQuota = 0;
    std::size_t withQuota = 0;
    for (const workspace &each : m_workspaces) {
        totalQuota += each.requestsPerSecond;
        withQuota += each.requestsPerSecond > 0 ? 1 : 0;
        for (const std::string &key : each.apiKeys) {
            m_byKey.emplace(key, &each);
        }
    }
    if (withQuota > 0) {
        m_meanQuota = totalQuota / static_cast<double>(withQuota);
    }
}

bool workspace_directory::hasWorkspaces() const
{
    return !m_workspaces.empty();
}

const workspace *workspace_directory::findByKey(std::string_view key) const
{
    const auto found = m_byKey.find(std::string(key));
    return found == m_byKey.end() ? nullptr : found->second;
}

double workspace_directory::weightOf(const workspace &holder) const
{
    return holder.requestsPerSecond > 0 ? holder.requestsPerSecond : m_meanQuota;
}

} // namespace jackdawweir::policy
