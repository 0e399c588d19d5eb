#include "jackdawweir/policy/workspace_directory.h"

namespace jackdawweir::policy {

workspace_directory::workspace_directory(const traffic_policy &policy)
    : m_workspaces(policy.workspaces)
{
    for (const workspace &each : m_workspaces) {
        for (const std::string &key : each.apiKeys) {
            m_byKey.emplace(key, &each);
        }
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

} // namespace jackdawweir::policy
