// Decides the share of a rollout's new version from the time left and from what nodes saw of its
// requests. A bad version may show late, so most requests stay on the version before until most of
// the time has passed, and the rest moves in few large steps.
//
// Answers the load of a version that fails or slows some of its requests, at once, later, under
// load or on one route: the share it gets before it shows is bounded.
//
//     rollout_controller controller;
//     const std::optional<advance_rollout> decision = controller.decide(running, seen, elapsed);

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"
#include "jackdawweir/policy/policy_state.h"

namespace jackdawweir::policy {

// Requests that ended at one version of a service on one route.
struct version_counts {
    std::uint64_t requests = 0;
    // Failures of the server: its own 5xx, a broken or missing response.
    std::uint64_t failures = 0;
    std::uint64_t latencyMicros = 0;

    void add(const version_counts &other);

    friend bool operator==(const version_counts &, const version_counts &) = default;

    MSGPACK_DEFINE_ARRAY(requests, failures, latencyMicros)
};

using route_counts = std::map<std::string, version_counts>;

// What all nodes saw of a rollout, by route.
struct rollout_evidence {
    // Since the rollout began.
    route_counts target;
    route_counts previous;
    // In the last seconds: shows a fault that comes late, and one that both versions share now.
    route_counts recentTarget;
    route_counts recentPrevious;
    // Whether a backend server of the target is ready.
    bool isTargetPresent = false;
    // Requests that backend servers of the previous version run or hold now.
    std::uint64_t previousInFlight = 0;
};

struct rollout_limits {
    // A version whose failures reach this count and this multiple of the previous version's rate,
    // plus an absolute margin, is bad.
    std::uint64_t minFailures = 3;
    double failureFactor = 3.0;
    double failureMargin = 0.03;
    // The same where the previous version fails much as well: the target is bad once its rate is
    // higher by this margin and its failures exceed the expected ones by this many standard
    // deviations.
    double farMoreMargin = 0.2;
    double farMoreDeviations = 4.0;
    // Where the previous version got fewer requests lately than this, a fault that both would share
    // can't be told from one of the target, so only a high rate counts.
    std::uint64_t minCompared = 10;
    std::uint64_t minFailuresAlone = 10;
    double failureRateAlone = 0.25;
    // A version that takes this multiple of the previous version's time on a route is bad. A cold
    // start alone doubles it.
    std::uint64_t minTimedRequests = 6;
    double latencyFactor = 3.5;
    // The shares of the target by the part of the duration that has passed. All requests before a
    // fault shows count as exposed, so these add up to 5% of the whole, half of what a bad version
    // may get: the other half is for a fault that shows as all requests move.
    double probeUntil = 0.55;
    std::uint32_t probeShare = 400;
    double partUntil = 0.8;
    std::uint32_t partShare = 1'200;
    // The earliest and latest part of the duration at which a version is completed.
    double completeFrom = 0.88;
    double completeAt = 0.93;
    // Requests that the target must have answered before it gets more than the probe share.
    std::uint64_t minRequests = 10;
};

class rollout_controller
{
public:
    explicit rollout_controller(const rollout_limits &limits = {});

    // Returns the next decision, or nothing where the rollout stays as it is.
    std::optional<advance_rollout> decide(const rollout &running,
                                          const rollout_evidence &seen,
                                          std::chrono::nanoseconds elapsed) const;

private:
    std::optional<std::string> findFault(const rollout &running,
                                         const rollout_evidence &seen) const;
    std::optional<std::string> compare(const route_counts &target,
                                       const route_counts &previous) const;
    bool fails(const version_counts &target, const version_counts &previous) const;
    bool failsFarMore(const version_counts &target, double usualRate) const;
    std::uint32_t shareAt(const rollout_evidence &seen, double part) const;

    rollout_limits m_limits;
};

} // namespace jackdawweir::policy
