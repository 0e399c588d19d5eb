#include "jackdawweir/observe/timeline.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::observe {

timeline::timeline(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{
}

void timeline::add(event added)
{
    const std::lock_guard guard(m_mutex);
    if (m_events.size() == m_capacity) {
        m_events.pop_front();
    }
    m_events.push_back(std::move(added));
}

std::vector<event> timeline::events() const
{
    std::vector<event> sorted;
    {
        const std::lock_guard guard(m_mutex);
        sorted.assign(m_events.begin(), m_events.end());
    }
    // Threads may add events in a different order than they read the clock.
    std::stable_sort(sorted.begin(), sorted.end(), [](const event &left, const event &right) {
        return left.time < right.time;
    });
    return sorted;
}

std::string timeline::toJsonLines() const
{
    std::string lines;
    for (const event &each : events()) {
        lines += toJsonLine(each);
        lines += '\n';
    }
    return lines;
}

} // namespace jackdawweir::observe
