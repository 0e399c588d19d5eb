// What one node has observed of one incarnation of a backend server: requests in flight, passive
// health and reported load. Every member may be called from several threads without a lock.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/request/attempt_outcome.h"

namespace jackdawweir::request {

struct health_settings {
    // A fault of the server adds faultWeight to its score, and a success subtracts 1. A server
    // whose score reaches the threshold is ejected, that is after five consecutive faults or at a
    // sustained error rate above one in five.
    std::uint32_t faultWeight = 4;
    std::uint32_t ejectionThreshold = 20;
    // The duration of the first ejection. It doubles with each further one, up to maxEjection.
    std::chrono::nanoseconds firstEjection = std::chrono::seconds(2);
    std::chrono::nanoseconds maxEjection = std::chrono::seconds(30);
    // A server that refused a request because of overload counts as full for this time.
    std::chrono::nanoseconds overloadedDuration = std::chrono::milliseconds(20);
    // A reported load older than this is ignored, since load endpoints may report stale values.
    std::chrono::nanoseconds loadFreshness = std::chrono::milliseconds(200);
    // The half-life of a latency estimate without new samples. The estimate decays so that a server
    // that was slow gets requests again.
    std::chrono::nanoseconds latencyHalfLife = std::chrono::seconds(2);
};

class server_health
{
public:
    // `slowStartEnd` is the time at which the server's slow start ends.
    server_health(const health_settings &settings, core::monotonic_time slowStartEnd);

    // Takes a slot for a request; returns false if `limit` requests are already in flight.
    bool tryAcquire(std::uint32_t limit);
    void release();

    // Records the result of an attempt.
    void record(const attempt_outcome &attemptResult,
                std::chrono::nanoseconds elapsed,
                core::monotonic_time now);
    void recordLoad(std::uint32_t reportedLoad, core::monotonic_time now);

    std::uint32_t inFlight() const;
    // Returns the larger of the number of requests in flight from this node and the reported load,
    // unless the latter is stale.
    std::uint32_t estimatedLoad(core::monotonic_time now) const;
    bool isEjected(core::monotonic_time now) const;
    bool isFull(core::monotonic_time now) const;
    // Returns the mean time until a complete response or a timeout, or zero if none is known.
    std::chrono::nanoseconds latency(core::monotonic_time now) const;
    // Zero for a server without recent faults.
    std::uint32_t faultScore() const;
    core::monotonic_time slowStartEnd() const;

private:
    void recordFault(core::monotonic_time now);
    void recordLatency(std::chrono::nanoseconds elapsed, core::monotonic_time now);

    const health_settings m_settings;
    const core::monotonic_time m_slowStartEnd;
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::uint32_t> m_faultScore{0};
    std::atomic<std::uint32_t> m_ejections{0};
    std::atomic<std::uint32_t> m_reportedLoad{0};
    std::atomic<std::int64_t> m_reportedAt;
    std::atomic<std::int64_t> m_ejectedUntil;
    std::atomic<std::int64_t> m_fullUntil;
    std::atomic<std::int64_t> m_latencyNanos{0};
    std::atomic<std::int64_t> m_latencyAt;
};

} // namespace jackdawweir::request
