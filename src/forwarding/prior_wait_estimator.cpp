#include "jackdawweir/forwarding/prior_wait_estimator.h"

#include <algorithm>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

namespace {

// A longer remaining time counts as this one. Callers may state any number, and the wait is
// subtracted from times in nanoseconds.
constexpr milliseconds maxRemaining{3'600'000};

} // namespace

prior_wait_estimator::prior_wait_estimator(const prior_wait_settings &settings)
    : m_settings(settings)
{
}

void prior_wait_estimator::record(seen_times &seen, milliseconds remaining) const
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

milliseconds prior_wait_estimator::estimatePriorWait(const core::route_name &route,
                                                     milliseconds stated)
{
    const milliseconds remaining = std::min(stated, maxRemaining);
    seen_times &seen = m_routes[route];
    record(seen, remaining);
    const auto mostFrequent = std::max_element(
        seen.counts.begin(), seen.counts.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
    const auto sameTime = seen.counts.find(remaining);
    const bool isCommon = sameTime != seen.counts.end()
        && static_cast<double>(sameTime->second) >= m_settings.freshFraction * seen.total;
    if (mostFrequent == seen.counts.end() || isCommon) {
        return milliseconds(0);
    }
    return std::max(mostFrequent->first - remaining, milliseconds(0));
}

} // namespace jackdawweir::forwarding
