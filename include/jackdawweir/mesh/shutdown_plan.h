// Decides what a stopping node does at each time after the stop signal.
//
// Callers check the node's readiness once a second and leave after the second failed check. Until
// then they send requests, also over new connections, and every request must be answered. Some
// callers stay longer, so from a set time on further requests are refused: a refusal is a definite
// answer that the request did not run, unlike a connection that is cut off when the process ends.
//
//     const shutdown_step step = shutdown_plan(timeout).at(elapsed, openRequests);

#pragma once

#include <chrono>
#include <cstddef>

namespace jackdawweir::mesh {

struct shutdown_step {
    // Connections are closed after their open requests.
    bool drains = false;
    // Further requests are refused.
    bool refuses = false;
    // Requests that wait for a server are taken back and refused.
    bool recalls = false;
    // The process ends.
    bool ends = false;
    // The process ends while requests are open, which are cut off.
    bool cutsOff = false;
};

class shutdown_plan
{
public:
    explicit shutdown_plan(std::chrono::milliseconds timeout);

    shutdown_step at(std::chrono::nanoseconds elapsed, std::size_t openRequests) const;

private:
    // Two readiness checks of a caller, and the time for them to arrive.
    static constexpr std::chrono::milliseconds drainAfter{2'300};
    // Leaves more than half of the usual timeout for the requests that were accepted.
    static constexpr std::chrono::milliseconds refuseAfter{2'700};
    // The time for the answers to recalled requests, between two data centres and back.
    static constexpr std::chrono::milliseconds recallTime{300};
    // The time for sending the last refusals.
    static constexpr std::chrono::milliseconds settleTime{200};
    // The part of the timeout that is reserved for the exit of the process. At most half of the
    // last sixth: only then may requests that servers work at be cut off.
    static constexpr int exitParts = 12;
    static constexpr std::chrono::milliseconds leastExitReserve{100};
    static constexpr std::chrono::milliseconds mostExitReserve{500};

    std::chrono::milliseconds exitReserve() const;

    std::chrono::milliseconds m_timeout;
};

} // namespace jackdawweir::mesh
