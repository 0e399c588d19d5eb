#include "jackdawweir/core/hybrid_time.h"

#include <algorithm>

namespace jackdawweir::core {

namespace {

hybrid_time nextTimeAfter(const hybrid_time &last, wall_time now)
{
    const std::int64_t micros
        = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
    if (micros > last.wallMicros) {
        return hybrid_time{micros, 0};
    }
    return hybrid_time{last.wallMicros, last.counter + 1};
}

} // namespace

hybrid_time hybrid_clock::next(wall_time now)
{
    const std::lock_guard guard(m_mutex);
    m_last = nextTimeAfter(m_last, now);
    return m_last;
}

hybrid_time hybrid_clock::receive(const hybrid_time &remote, wall_time now)
{
    const std::lock_guard guard(m_mutex);
    m_last = nextTimeAfter(std::max(m_last, remote), now);
    return m_last;
}

} // namespace jackdawweir::core
