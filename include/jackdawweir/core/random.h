// Random numbers. State machines are given a seeded engine, so that a run can be repeated exactly.

#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace jackdawweir::core {

using random_engine = std::mt19937_64;

// Returns a delay drawn uniformly from zero to a limit, which starts at `initialLimit` and doubles
// with each attempt up to `maxLimit`. Full jitter spreads out the reconnects of clients that lost a
// peer at the same time.
inline std::chrono::nanoseconds backoffWithFullJitter(random_engine &engine,
                                                      unsigned attempt,
                                                      std::chrono::nanoseconds initialLimit,
                                                      std::chrono::nanoseconds maxLimit)
{
    constexpr unsigned maxShift = 30;
    const std::chrono::nanoseconds uncappedLimit
        = initialLimit * (1LL << std::min(attempt, maxShift));
    const std::chrono::nanoseconds limit = std::min(uncappedLimit, maxLimit);
    std::uniform_int_distribution<std::chrono::nanoseconds::rep> distribution(0, limit.count());
    return std::chrono::nanoseconds(distribution(engine));
}

} // namespace jackdawweir::core
