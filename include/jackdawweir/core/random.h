// Randomness. State machines draw from an engine that is passed in with its seed, so that a run can
// be repeated exactly.

#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace jackdawweir::core {

using random_engine = std::mt19937_64;

// Returns a delay drawn evenly from zero to the limit, the limit doubling with each attempt from
// `first` up to `most`. Full jitter spreads the return of clients that lost a peer together.
inline std::chrono::nanoseconds backoffWithFullJitter(random_engine &engine,
                                                      unsigned attempt,
                                                      std::chrono::nanoseconds first,
                                                      std::chrono::nanoseconds most)
{
    constexpr unsigned largestShift = 30;
    const std::chrono::nanoseconds grown = first * (1LL << std::min(attempt, largestShift));
    const std::chrono::nanoseconds limit = std::min(grown, most);
    std::uniform_int_distribution<std::chrono::nanoseconds::rep> draw(0, limit.count());
    return std::chrono::nanoseconds(draw(engine));
}

} // namespace jackdawweir::core
