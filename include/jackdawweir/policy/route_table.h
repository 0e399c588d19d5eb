// Finds the route of a request: the one with the longest matching path prefix among the routes of
// the request's host. The table is immutable.
//
//     const route_table table(policy);
//     const route *found = table.find("shop.example", "/stock/17?size=2");

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "jackdawweir/policy/model.h"

namespace jackdawweir::policy {

// Returns the host in the form in which routes are looked up: in lower case and without a port.
std::string hostWithoutPort(std::string_view host);

class route_table
{
public:
    explicit route_table(const traffic_policy &policy);

    // Returns the route, which is valid as long as the table, or nullptr if no route matches.
    // `host` is the Host header, with or without a port; `target` may include a query.
    const route *find(std::string_view host, std::string_view target) const;

private:
    // The routes of each host by path prefix.
    std::map<std::string, std::unordered_map<std::string, route>, std::less<>> m_byHost;
};

} // namespace jackdawweir::policy
