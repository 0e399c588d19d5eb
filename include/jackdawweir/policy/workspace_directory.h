// Finds the workspace that holds an API key. The directory is immutable.
//
//     const workspace_directory directory(policy);
//     const workspace *found = directory.findByKey(key);
//     if (directory.hasWorkspaces() && found == nullptr) { /* refuse the caller */ }

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jackdawweir/policy/model.h"

namespace jackdawweir::policy {

class workspace_directory
{
public:
    explicit workspace_directory(const traffic_policy &policy);
    workspace_directory(const workspace_directory &) = delete;
    workspace_directory &operator=(const workspace_directory &) = delete;
    ~workspace_directory() = default;

    // Without workspaces, no route requires an API key.
    bool hasWorkspaces() const;

    // Returns the workspace, which is valid as long as the directory, or nullptr if no workspace
    // holds the key.
    const workspace *findByKey(std::string_view key) const;

    // Returns the weight of the workspace's share where there is too little room: its quota, or the
    // mean of all quotas if it has none.
    double weightOf(const workspace &holder) const;

private:
    std::vector<workspace> m_workspaces;
    std::unordered_map<std::string, const workspace *> m_byKey;
    double m_meanQuota = 1;
};

} // namespace jackdawweir::policy
