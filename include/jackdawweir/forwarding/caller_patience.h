// Tells how long a caller has waited already from the time that it still waits: callers of a route
// give a fresh request the same time, and one that comes back after a refusal has less left.
//
// Answers the load of refused callers that come back: one that can still be answered within its
// target goes first, one whose target has passed takes no slot from those that can.
//
//     caller_patience patience;
//     const milliseconds waited = patience.waitedBefore(route, remaining);

#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "jackdawweir/core/names.h"

namespace jackdawweir::forwarding {

struct patience_settings {
    // Requests after which older ones count half.
    std::uint32_t halfLife = 200;
    // A time that this part of a route's requests bring is the time of a fresh request.
    double commonPart = 0.1;
};

class caller_patience
{
public:
    explicit caller_patience(const patience_settings &settings = {});

    // Records the time that the caller of a request still waits. Returns the time that it has
    // waited before; zero for a fresh request.
    std::chrono::milliseconds waitedBefore(const core::route_name &route,
                                           std::chrono::milliseconds remaining);

private:
    struct seen_times {
        std::map<std::chrono::milliseconds, std::uint32_t> counts;
        std::uint32_t total = 0;
    };

    void record(seen_times &seen, std::chrono::milliseconds remaining) const;

    patience_settings m_settings;
    std::map<core::route_name, seen_times> m_routes;
};

} // namespace jackdawweir::forwarding
