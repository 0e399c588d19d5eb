#include "jackdawweir/policy/route_table.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace jackdawweir::policy {

namespace {

std::string hostWithoutPort(std::string_view host)
{
    return absl::AsciiStrToLower(
        absl::string_view(host.data(), std::min(host.find(':'), host.size())));
}

} // namespace

route_table::route_table(const traffic_policy &policy)
{
    for (const route &each : policy.routes) {
        m_byHost[hostWithoutPort(each.host)].push_back(each);
    }
    for (auto &[host, routes] : m_byHost) {
        std::sort(routes.begin(), routes.end(), [](const route &left, const route &right) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        });
    }
}

const route *route_table::find(std::string_view host, std::string_view target) const
{
    const auto routes = m_byHost.find(hostWithoutPort(host));
    if (routes == m_byHost.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const route &each : routes->second) {
        if (path.substr(0, each.pathPrefix.size()) == each.pathPrefix) {
            return &each;
        }
    }
    return nullptr;
}

} // namespace jackdawweir::policy
