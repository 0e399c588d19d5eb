// Limits the requests to one backend server to a rate, with a token bucket. The bucket is small, so
// that any span of time holds no more than the rate allows and a short burst.
//
//     rate_limiter limiter;
//     limiter.setRate(5.0, now);
//     if (limiter.tryTake(now)) { send(); } else { retryAfter = limiter.waitFor(1, now); }

#pragma once

#include <chrono>
#include <cstddef>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::forwarding {

class rate_limiter
{
public:
    // Sets the requests per second; zero for no limit. A first limit begins with an empty bucket,
    // since the requests that were sent right before are not known.
    void setRate(double perSecond, core::monotonic_time now);

    // Returns true if a request may be sent now, and counts it.
    bool tryTake(core::monotonic_time now);

    // Returns the time until so many further requests may have been sent.
    std::chrono::microseconds waitFor(std::size_t requests, core::monotonic_time now) const;

private:
    double tokensAt(core::monotonic_time now) const;

    double m_perSecond = 0;
    double m_tokens = 0;
    core::monotonic_time m_updatedAt;
};

} // namespace jackdawweir::forwarding
