#include "jackdawweir/forwarding/retry_share.h"

#include <algorithm>

namespace jackdawweir::forwarding {

retry_share::retry_share(const retry_settings &settings)
    : m_settings(settings)
{
}

void retry_share::forget(core::monotonic_time now)
{
    const core::monotonic_time from = now - m_settings.window;
    for (std::deque<core::monotonic_time> *times : {&m_requests, &m_repeats}) {
        while (!times->empty() && times->front() < from) {
            times->pop_front();
        }
    }
}

void retry_share::recordRequest(core::monotonic_time now)
{
    forget(now);
    m_requests.push_back(now);
}

bool retry_share::tryTake(core::monotonic_time now, std::size_t nodeCount)
{
    forget(now);
    const double nodes = static_cast<double>(std::max<std::size_t>(nodeCount, 1));
    const double allowed = m_settings.spentPart
        * (m_settings.ratio * static_cast<double>(m_requests.size())
           + m_settings.allowance / nodes);
    if (static_cast<double>(m_repeats.size()) + 1 > allowed) {
        return false;
    }
    m_repeats.push_back(now);
    return true;
}

} // namespace jackdawweir::forwarding
