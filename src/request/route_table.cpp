#include "jackdawweir/request/route_table.h"

#include <algorithm>

#include <absl/strings/match.h>

namespace jackdawweir::request {

route_table::route_table(const document::configuration &activeConfiguration)
{
    for (const document::route &each : activeConfiguration.routes) {
        m_entries.push_back(entry{each, noParent});
    }
    std::sort(m_entries.begin(), m_entries.end(), [](const entry &left, const entry &right) {
        return left.route.pathPrefix < right.route.pathPrefix;
    });
    for (std::size_t index = 1; index < m_entries.size(); ++index) {
        // The parent is the preceding entry or one of its ancestors, as in find().
        std::size_t parent = index - 1;
        while (parent != noParent
               && !absl::StartsWith(m_entries[index].route.pathPrefix,
                                    m_entries[parent].route.pathPrefix)) {
            parent = m_entries[parent].parent;
        }
        m_entries[index].parent = parent;
    }
}

const document::route *route_table::find(std::string_view path) const
{
    // The entry with the longest prefix of `path` is the last entry that does not sort after
    // `path`, or one of its ancestors: every entry that sorts between a prefix and the path starts
    // with that prefix.
    const auto above = std::upper_bound(
        m_entries.begin(), m_entries.end(), path, [](std::string_view wanted, const entry &each) {
            return wanted < std::string_view(each.route.pathPrefix);
        });
    std::size_t index = above == m_entries.begin()
        ? noParent
        : static_cast<std::size_t>(above - m_entries.begin()) - 1;
    while (index != noParent && !path.starts_with(m_entries[index].route.pathPrefix)) {
        index = m_entries[index].parent;
    }
    return index == noParent ? nullptr : &m_entries[index].route;
}

} // namespace jackdawweir::request
