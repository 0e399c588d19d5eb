// Counters and latency histograms of one mesh process, in the Prometheus text form.
//
//     metrics counted;
//     counted.countAnswer(answer.outcome, answer.reason, answer.elapsed);
//     const std::string exposition = counted.toText();

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "jackdawweir/forwarding/dispatcher.h"
#include "jackdawweir/forwarding/messages.h"

namespace jackdawweir::mesh {

// All calls on the thread of the process's loop.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    // A caller's request ended.
    void countAnswer(forwarding::caller_outcome outcome,
                     forwarding::forward_reason reason,
                     std::chrono::nanoseconds elapsed);

    // A request of some node ended at a backend server of this host, or was refused there.
    void countServed(forwarding::forward_outcome outcome, forwarding::forward_reason reason);

    // A request was sent to a backend server that is leaving.
    void countLeaving();

    // Requests that run and wait at the backend servers of this host.
    void setLoad(std::uint32_t running, std::uint32_t waiting);

    // The revision of the newest view or state, and the number of the policy in it.
    void setRevision(std::uint64_t revision, std::uint64_t policy);

    // Log lines that were dropped since the process began.
    void setDroppedLogLines(std::uint64_t lines);

    std::string toText() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::mesh
