// What one node has seen of one start of a backend server: requests in flight, passive health,
// reported load. Every member may be called from several threads without a lock.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/request/attempt_outcome.h"

namespace jackdawweir::request {

struct health_settings {
    // A fault of the server adds faultWeight to its score and a success takes 1 away. A server
    // whose score reaches the threshold is ejected: after five faults in a row, or a lasting error
    // rate above one in five.
    std::uint32_t faultWeight = 4;
    std::uint32_t ejectionThreshold = 20;
    // The first ejection; it doubles with each further one up to the longest.
    std::chrono::nanoseconds firstEjection = std::chrono::seconds(2);
    std::chrono::nanoseconds longestEjection = std::chrono::seconds(30);
    // A server that refused for overload counts as full for this time.
    std::chrono::nanoseconds fullHold = std::chrono::milliseconds(20);
    // A reported load older than this is ignored, since load endpoints can be stale.
    std::chrono::nanoseconds loadFreshness = std::chrono::milliseconds(200);
    // A latency estimate without new samples halves in this time, so that a server which was slow
    // gets requests again.
    std::chrono::nanoseconds latencyHalfLife = std::chrono::seconds(2);
};

class server_health
{
public:
    // `warmFrom` is the time at which slow start ends.
    server_health(const health_settings &settings, core::monotonic_time warmFrom);

    // Takes a slot for a request; false where `limit` requests are in flight.
    bool tryAcquire(std::uint32_t limit);
    void release();

    // Takes in the end of an attempt.
    void record(const attempt_outcome &ended,
                std::chrono::nanoseconds elapsed,
                core::monotonic_time now);
    void recordLoad(std::uint32_t busy, core::monotonic_time now);

    std::uint32_t inFlight() const;
    // Returns the larger of the requests in flight from this node and the fresh reported load.
    std::uint32_t estimatedBusy(core::monotonic_time now) const;
    bool isEjected(core::monotonic_time now) const;
    bool isFull(core::monotonic_time now) const;
    // Returns the mean time to a complete response, or zero where none is known.
    std::chrono::nanoseconds latency(core::monotonic_time now) const;
    // Zero for a server without recent faults.
    std::uint32_t faultScore() const;
    core::monotonic_time warmFrom() const;

private:
    void recordFault(core::monotonic_time now);
    void recordLatency(std::chrono::nanoseconds elapsed, core::monotonic_time now);

    const health_settings m_settings;
    const core::monotonic_time m_warmFrom;
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::uint32_t> m_faultScore{0};
    std::atomic<std::uint32_t> m_ejections{0};
    std::atomic<std::uint32_t> m_reportedBusy{0};
    std::atomic<std::int64_t> m_reportedAt;
    std::atomic<std::int64_t> m_ejectedUntil;
    std::atomic<std::int64_t> m_fullUntil;
    std::atomic<std::int64_t> m_latencyNanos{0};
    std::atomic<std::int64_t> m_latencyAt;
};

} // namespace jackdawweir::request
