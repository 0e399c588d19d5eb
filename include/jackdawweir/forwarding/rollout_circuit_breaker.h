// A circuit breaker on the target version of a rollout: decides whether one node keeps sending
// requests to that version. The leading source rolls a bad version back; the circuit breaker limits
// the requests that the version gets while no source leads or the decision has not arrived yet.
//
// Needed for a version that begins to fail when it already gets most of the requests.
//
//     rollout_circuit_breaker breaker;
//     breaker.record(rollout_version::Target, true, now);
//     if (breaker.allowsTarget(now)) { ... }

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::forwarding {

enum class rollout_version : std::uint8_t {
    Previous,
    Target,
};

struct rollout_circuit_breaker_settings {
    // Requests that ended longer ago are not counted.
    std::chrono::milliseconds window{3'000};
    // The circuit breaker opens once at least this many requests to the target failed, at least at
    // this rate, and the rate exceeds this multiple of the previous version's failure rate.
    std::size_t minFailures = 4;
    double minFailureRate = 0.3;
    double failureFactor = 2.0;
    // After this time the target gets requests again: the source may have found that the previous
    // version has the same fault.
    std::chrono::milliseconds openPeriod{4'000};
};

class rollout_circuit_breaker
{
public:
    explicit rollout_circuit_breaker(const rollout_circuit_breaker_settings &settings = {});

    // Records that a request ended at a server of the rollout's service.
    void record(rollout_version version, bool isFailure, core::monotonic_time now);

    // Returns false while the circuit breaker is open, so that this node sends no requests to the
    // target.
    bool allowsTarget(core::monotonic_time now) const;

private:
    struct ended_request {
        core::monotonic_time at;
        bool isFailure = false;
    };

    using ended_requests = std::deque<ended_request>;

    static double failureRate(const ended_requests &ended);
    void removeExpired(ended_requests &ended, core::monotonic_time now) const;
    bool failsTooMany() const;

    rollout_circuit_breaker_settings m_settings;
    ended_requests m_target;
    ended_requests m_previous;
    std::optional<core::monotonic_time> m_openUntil;
};

} // namespace jackdawweir::forwarding
