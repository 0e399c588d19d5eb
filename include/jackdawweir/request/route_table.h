// Finds the route of a path. The table is immutable; a node builds one for each configuration.
//
//     const route_table routes(configuration);
//     if (const document::route *found = routes.find("/quotes/12")) { ... }

#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "jackdawweir/document/configuration.h"

namespace jackdawweir::request {

class route_table
{
public:
    explicit route_table(const document::configuration &activeConfiguration);

    // Returns the route with the longest prefix of `path`, or nullptr if none matches. `path` does
    // not include the query. The route is valid for the lifetime of the table.
    const document::route *find(std::string_view path) const;

private:
    static constexpr std::size_t noParent = static_cast<std::size_t>(-1);

    struct entry {
        document::route route;
        // The entry with the longest prefix that is a proper prefix of this entry's prefix.
        std::size_t parent = noParent;
    };

    // Sorted by prefix.
    std::vector<entry> m_entries;
};

} // namespace jackdawweir::request
