// Determines how many slots of a backend server requests of a lower urgency leave to short ones of
// a higher urgency. Once a long request runs it keeps its slot for longer than a short one can
// wait.
//
//     reserve.noteArrival(urgency, runTime, slack, now);
//     const std::uint32_t kept = reserve.slotsKeptFrom(urgency, runTime, slots, now);
//
// The size follows the slots that the urgent requests keep busy, learnt from their arrivals and run
// times, so nothing is kept while none arrive.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::forwarding {

// Orders requests: the rank of the workspace, then of the route. Less is more urgent.
struct request_urgency {
    std::uint32_t workspaceRank = 0;
    std::uint32_t routeRank = 0;

    friend auto operator<=>(const request_urgency &, const request_urgency &) = default;
};

struct slot_reserve_settings {
    // Arrivals count for less with their age, by half in about 0.7 of this time.
    std::chrono::milliseconds memory{2'000};
    // Beyond the slots that are busy on average, this multiple of their square root is kept: the
    // standard deviation of the number of busy slots when requests arrive at random.
    double deviations = 0.5;
    // At most this fraction of the slots is kept.
    double maxFraction = 0.5;
    // The weight of the latest request in the moving average of the time that requests can wait.
    double slackWeight = 0.1;
};

class slot_reserve
{
public:
    explicit slot_reserve(const slot_reserve_settings &settings);

    // Counts an arrival. `slack` is the time that the request can wait and still meet its target.
    void noteArrival(request_urgency urgency,
                     std::chrono::microseconds runTime,
                     std::chrono::microseconds slack,
                     core::monotonic_time now);

    // Returns the number of slots that requests of this urgency and run time may not hold.
    std::uint32_t slotsKeptFrom(request_urgency urgency,
                                std::chrono::microseconds runTime,
                                std::uint32_t slots,
                                core::monotonic_time now) const;

private:
    struct recent_arrivals {
        // The sum of the run times of recent arrivals.
        double seconds = 0;
        std::chrono::microseconds meanSlack{0};
        core::monotonic_time updatedAt;
    };

    double decayed(const recent_arrivals &arrivals, core::monotonic_time now) const;

    slot_reserve_settings m_settings;
    std::map<request_urgency, recent_arrivals> m_arrivals;
};

} // namespace jackdawweir::forwarding
