// Decides what a stopping node does at each time after the stop signal.
//
// Callers ask once a second whether the node takes requests and go after the second refusal; until
// then they send requests, also over new connections, and every one of them must be answered. Some
// stay, so from a set time on further requests are refused, which is true and final, instead of
// being cut off when the process ends.
//
//     const shutdown_step step = shutdown_plan(timeout).at(elapsed, openRequests);

#pragma once

#include <chrono>
#include <cstddef>

namespace jackdawweir::mesh {

struct shutdown_step {
    // Connections close after their open requests.
    bool drains = false;
    // Further requests are refused.
    bool refuses = false;
    bool ends = false;
    // Requests are cut off by the end.
    bool cutsOff = false;
};

class shutdown_plan
{
public:
    explicit shutdown_plan(std::chrono::milliseconds timeout);

    shutdown_step at(std::chrono::nanoseconds elapsed, std::size_t openRequests) const;

private:
    // Two questions of a caller, and the time for them to arrive.
    static constexpr std::chrono::milliseconds drainAfter{2'300};
    // Leaves more than half of the usual timeout for the requests that were taken.
    static constexpr std::chrono::milliseconds refuseAfter{2'700};
    // The time for the last refusals to leave.
    static constexpr std::chrono::milliseconds settleTime{200};
    // What remains of the timeout for the end of the process.
    static constexpr std::chrono::milliseconds exitReserve{500};

    std::chrono::milliseconds m_timeout;
};

} // namespace jackdawweir::mesh
