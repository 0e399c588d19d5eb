// Estimates how long a caller has already waited, from the remaining time that its request states.
// Callers of a route give a new request the same timeout; a caller that retries after a refusal has
// less time left.
//
// Used when refused callers retry under overload: a request that can still be answered within its
// target goes first, and one whose target has passed takes no slot from those that can.
//
//     prior_wait_estimator priorWaits;
//     const milliseconds waited = priorWaits.estimatePriorWait(route, remaining);

#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "jackdawweir/core/names.h"

namespace jackdawweir::forwarding {

struct prior_wait_settings {
    // After this number of requests all earlier counts are halved.
    std::uint32_t halfLife = 200;
    // A remaining time that at least this fraction of a route's requests state is taken for the
    // timeout of a new request.
    double freshFraction = 0.1;
};

class prior_wait_estimator
{
public:
    explicit prior_wait_estimator(const prior_wait_settings &settings = {});

    // Records the remaining time that a request states. Returns the time that its caller has
    // already waited, or zero for a new request.
    std::chrono::milliseconds estimatePriorWait(const core::route_name &route,
                                                std::chrono::milliseconds stated);

private:
    struct seen_times {
        std::map<std::chrono::milliseconds, std::uint32_t> counts;
        std::uint32_t total = 0;
    };

    void record(seen_times &seen, std::chrono::milliseconds remaining) const;

    prior_wait_settings m_settings;
    std::map<core::route_name, seen_times> m_routes;
};

} // namespace jackdawweir::forwarding
