// Decides whether one node keeps sending requests to the target of a rollout. The source that leads
// takes a bad version back; the guard bounds what the version gets while no source leads or the
// decision is on its way.
//
// Answers the load of a version that begins to fail when it already gets most requests.
//
//     rollout_guard guard;
//     guard.record(rollout_side::Target, true, now);
//     if (guard.allowsTarget(now)) { ... }

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::forwarding {

enum class rollout_side : std::uint8_t {
    Previous,
    Target,
};

struct rollout_guard_settings {
    // Requests that ended longer ago don't count.
    std::chrono::milliseconds span{3'000};
    // The target gets no requests once it failed this many and this part of its requests, and this
    // multiple of the previous version's part.
    std::size_t minFailures = 4;
    double minFailureRate = 0.3;
    double failureFactor = 2.0;
    // After this the target is tried again: the source may have found that the fault was shared.
    std::chrono::milliseconds pause{4'000};
};

class rollout_guard
{
public:
    explicit rollout_guard(const rollout_guard_settings &settings = {});

    // A request ended at a server of the rollout's service.
    void record(rollout_side side, bool isFailure, core::monotonic_time now);

    // Returns false while the target gets no requests of this node.
    bool allowsTarget(core::monotonic_time now) const;

private:
    struct ended_request {
        core::monotonic_time at;
        bool isFailure = false;
    };

    using ended_requests = std::deque<ended_request>;

    static double failureRate(const ended_requests &ended);
    void forget(ended_requests &ended, core::monotonic_time now) const;
    bool failsTooMany() const;

    rollout_guard_settings m_settings;
    ended_requests m_target;
    ended_requests m_previous;
    std::optional<core::monotonic_time> m_stoppedUntil;
};

} // namespace jackdawweir::forwarding
