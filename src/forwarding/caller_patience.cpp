#include "jackdawweir/forwarding/caller_patience.h"

#include <algorithm>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

caller_patience::caller_patience(const patience_settings &settings)
    : m_settings(settings)
{
}

void caller_patience::record(seen_times &seen, milliseconds remaining) const
{
    ++seen.counts[remaining];
    if (++seen.total < m_settings.halfLife) {
        return;
    }
    seen.total = 0;
    for (auto each = seen.counts.begin(); each != seen.counts.end();) {
        each->second /= 2;
        seen.total += each->second;
        each = each->second == 0 ? seen.counts.erase(each) : std::next(each);
    }
}

milliseconds caller_patience::waitedBefore(const core::route_name &route, milliseconds remaining)
{
    seen_times &seen = m_routes[route];
    record(seen, remaining);
    const auto usual = std::max_element(
        seen.counts.begin(), seen.counts.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
    const auto own = seen.counts.find(remaining);
    const bool isCommon = own != seen.counts.end()
        && static_cast<double>(own->second) >= m_settings.commonPart * seen.total;
    if (usual == seen.counts.end() || isCommon) {
        return milliseconds(0);
    }
    return std::max(usual->first - remaining, milliseconds(0));
}

} // namespace jackdawweir::forwarding
