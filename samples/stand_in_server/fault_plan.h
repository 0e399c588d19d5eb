// The faults that a stand-in backend server injects into its responses.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "jackdawweir/core/random.h"

namespace jackdawweir::stand_in {

struct fault_plan {
    // Percentage of the requests that get status 500.
    std::uint32_t errorPercent = 0;
    // Percentage of the requests that take slowDelay longer.
    std::uint32_t slowPercent = 0;
    std::chrono::milliseconds slowDelay{300};
    // Percentage of the responses that carry a wrong request id.
    std::uint32_t crossedPercent = 0;
    // Faults are injected only on paths with this prefix; empty for all paths.
    std::string pathPrefix;
    // Time from the start of the server until the first fault is injected.
    std::chrono::milliseconds startDelay{0};
};

enum class fault : std::uint8_t {
    None,
    Error,
    Slow,
    Crossed,
};

// Draws the fault to inject into one request.
inline fault chooseFault(const fault_plan &plan,
                         const std::string &path,
                         std::chrono::milliseconds sinceStart,
                         core::random_engine &engine)
{
    if (sinceStart < plan.startDelay || path.rfind(plan.pathPrefix, 0) != 0) {
        return fault::None;
    }
    constexpr std::uint32_t whole = 100;
    const std::uint32_t drawn = std::uniform_int_distribution<std::uint32_t>(0, whole - 1)(engine);
    if (drawn < plan.errorPercent) {
        return fault::Error;
    }
    if (drawn < plan.errorPercent + plan.slowPercent) {
        return fault::Slow;
    }
    if (drawn < plan.errorPercent + plan.slowPercent + plan.crossedPercent) {
        return fault::Crossed;
    }
    return fault::None;
}

} // namespace jackdawweir::stand_in
