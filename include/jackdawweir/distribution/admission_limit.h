// The admission limit: a token bucket that counts what requests cost.

#pragma once

#include <cstddef>
#include <cstdint>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/distribution/settings.h"

namespace jackdawweir::distribution {

class admission_limit
{
public:
    explicit admission_limit(admission_settings settings);

    // Returns true and charges the cost of a request with a reply of this size. The last admitted
    // request may overdraw the bucket, so that a snapshot above the burst is still sent at times.
    bool admit(std::size_t replyBytes, core::monotonic_time now);

private:
    admission_settings m_settings;
    double m_tokens;
    core::monotonic_time m_filledAt;
    bool m_started = false;
};

} // namespace jackdawweir::distribution
