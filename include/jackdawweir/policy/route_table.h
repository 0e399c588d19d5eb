// Finds the route of a request: among the routes of its host, the one with the longest matching
// prefix. Immutable once built.
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

class route_table
{
public:
    explicit route_table(const traffic_policy &policy);

    // `host` is the Host header, with or without a port; `target` may have a query. Returns nullptr
    // where no route matches; the route lives as long as the table.
    const route *find(std::string_view host, std::string_view target) const;

private:
    // The routes of each host by their prefixes.
    std::map<std::string, std::unordered_map<std::string, route>, std::less<>> m_byHost;
};

} // namespace jackdawweir::policy
