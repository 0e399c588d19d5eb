#include "jackdawweir/policy/route_table.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace jackdawweir::policy {

std::string hostWithoutPort(std::string_view host)
{
    return absl::AsciiStrToLower(
        absl::string_view(host.data(), std::min(host.find(':'), host.size())));
}

route_table::route_table(const traffic_policy &policy)
{
    for (const route &each : policy.routes) {
        m_byHost[hostWithoutPort(each.host)].emplace(each.pathPrefix, each);
    }
}

const route *route_table::find(std::string_view host, std::string_view target) const
{
    const auto routes = m_byHost.find(hostWithoutPort(host));
    if (routes == m_byHost.end()) {
        return nullptr;
    }
    // Looks up only the prefixes of the path that end with a slash, as all route prefixes do,
    // instead of scanning the routes: a host may have thousands of them.
    std::string prefix(target.substr(0, target.find('?')));
    while (!prefix.empty()) {
        if (prefix.back() == '/') {
            const auto found = routes->second.find(prefix);
            if (found != routes->second.end()) {
                return &found->second;
            }
            prefix.pop_back();
        }
        prefix.resize(prefix.find_last_of('/') + 1);
    }
    return nullptr;
}

} // namespace jackdawweir::policy
