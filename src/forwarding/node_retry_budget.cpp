#include "jackdawweir/forwarding/node_retry_budget.h"

#include <algorithm>

namespace jackdawweir::forwarding {

node_retry_budget::node_retry_budget(const retry_settings &settings)
    : m_settings(settings)
{
}

void node_retry_budget::removeExpired(core::monotonic_time now)
{
    const core::monotonic_time from = now - m_settings.window;
    for (std::deque<core::monotonic_time> *times : {&m_requests, &m_retries}) {
        while (!times->empty() && times->front() < from) {
            times->pop_front();
        }
    }
}

void node_retry_budget::recordRequest(core::monotonic_time now)
{
    removeExpired(now);
    m_requests.push_back(now);
}

bool node_retry_budget::tryTake(core::monotonic_time now, std::size_t nodeCount)
{
    removeExpired(now);
    const double nodes = static_cast<double>(std::max<std::size_t>(nodeCount, 1));
    const double allowed = m_settings.usableFraction
        * (m_settings.ratio * static_cast<double>(m_requests.size())
           + m_settings.allowance / nodes);
    if (static_cast<double>(m_retries.size()) + 1 > allowed) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

} // namespace jackdawweir::forwarding
