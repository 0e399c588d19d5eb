// Limits the rate of log lines of one kind with a token bucket, so that the log volume does not
// grow with the load.
//
//     log_rate_limiter limiter(50.0, 200.0);
//     if (limiter.tryTake(now)) { log(...); }
//     const std::uint64_t suppressed = limiter.takeSuppressed();  // for a line with their number

#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::observe {

class log_rate_limiter
{
public:
    // Allows `perSecond` lines on average and up to `burst` lines at once.
    log_rate_limiter(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    // Returns true when another line may be written. Otherwise the line counts as suppressed.
    bool tryTake(core::monotonic_time now)
    {
        if (m_last != core::monotonic_time{}) {
            const double passed = std::chrono::duration<double>(now - m_last).count();
            m_tokens = std::min(m_burst, m_tokens + passed * m_perSecond);
        }
        m_last = now;
        if (m_tokens < 1) {
            ++m_suppressed;
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    // Returns the number of lines suppressed since the last call.
    std::uint64_t takeSuppressed()
    {
        const std::uint64_t suppressed = m_suppressed;
        m_suppressed = 0;
        return suppressed;
    }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    core::monotonic_time m_last;
    std::uint64_t m_suppressed = 0;
};

} // namespace jackdawweir::observe
