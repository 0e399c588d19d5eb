// A token bucket that limits the cost of admitted requests.

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

    // Charges the cost of a request with a reply of this size and returns true, or returns false if
    // less than one token is left. The last admitted request may overdraw the bucket, so that a
    // snapshot whose cost exceeds the burst can still be sent.
    bool admit(std::size_t replyBytes, core::monotonic_time now);

private:
    admission_settings m_settings;
    double m_tokens;
    core::monotonic_time m_refilledAt;
    bool m_started = false;
};

} // namespace jackdawweir::distribution
