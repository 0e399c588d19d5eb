#include "jackdawweir/forwarding/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace jackdawweir::forwarding {

namespace {

// The bucket holds one request and those of this time: waiting requests start at ticks, and a
// smaller bucket would lose the permits between two of them.
constexpr std::chrono::duration<double> burstTime{0.1};

// Rounding errors must not turn a full token into a wait.
constexpr double tolerance = 1e-9;

} // namespace

double rate_limiter::tokensAt(core::monotonic_time now) const
{
    const double passed = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::min(m_tokens + std::max(passed, 0.0) * m_perSecond,
                    1 + burstTime.count() * m_perSecond);
}

void rate_limiter::setRate(double perSecond, core::monotonic_time now)
{
    m_tokens = m_perSecond > 0 ? tokensAt(now) : 0;
    m_perSecond = perSecond;
    m_updatedAt = now;
}

bool rate_limiter::tryTake(core::monotonic_time now)
{
    if (m_perSecond <= 0) {
        return true;
    }
    m_tokens = tokensAt(now);
    m_updatedAt = now;
    if (m_tokens < 1 - tolerance) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::chrono::microseconds rate_limiter::waitFor(std::size_t requests,
                                                core::monotonic_time now) const
{
    using std::chrono::microseconds;
    if (m_perSecond <= 0) {
        return microseconds(0);
    }
    // A server that takes one request in a day or fewer is as good as closed.
    constexpr microseconds longest = std::chrono::hours(24);
    const double seconds
        = (static_cast<double>(requests) - tolerance - tokensAt(now)) / m_perSecond;
    if (seconds <= 0) {
        return microseconds(0);
    }
    const auto wait = std::chrono::duration<double, std::micro>(std::chrono::duration<double>(
        std::min(seconds, std::chrono::duration<double>(longest).count())));
    return microseconds(static_cast<std::int64_t>(std::ceil(wait.count())));
}

} // namespace jackdawweir::forwarding
