// Decides the share of a rollout's new version (the target) from the elapsed time and from the
// results of its requests. A version may begin to fail late, so most requests stay on the previous
// version until most of the duration has passed, and the rest moves in a few large steps.
//
// This bounds the number of requests that a bad version gets before it is detected. A bad version
// fails or delays some of its requests, from the start or later, under load or on a single route.
//
//     rollout_controller controller;
//     const std::optional<advance_rollout> decision
//         = controller.decide(running, evidence, elapsed);

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

// Counts of the completed requests to one version of a service on one route.
struct version_counts {
    std::uint64_t requests = 0;
    // Failures caused by the server: its own 5xx responses and incomplete or missing responses.
    std::uint64_t failures = 0;
    std::uint64_t latencyMicros = 0;

    void add(const version_counts &other);

    friend bool operator==(const version_counts &, const version_counts &) = default;

    MSGPACK_DEFINE_ARRAY(requests, failures, latencyMicros)
};

using route_counts = std::map<std::string, version_counts>;

// Request counts of all nodes for a rollout, by route.
struct rollout_evidence {
    // Since the rollout began.
    route_counts target;
    route_counts previous;
    // In the last seconds. These counts show a fault that begins late, and one that affects both
    // versions at present.
    route_counts recentTarget;
    route_counts recentPrevious;
    // Whether a backend server of the target is ready.
    bool isTargetPresent = false;
    // In-flight requests at backend servers of the previous version, running or queued.
    std::uint64_t previousInFlight = 0;
};

struct rollout_limits {
    // The target is bad if it has at least this number of failures and its failure rate exceeds
    // this multiple of the previous version's rate plus an absolute margin.
    std::uint64_t minFailures = 3;
    double failureFactor = 3.0;
    double failureMargin = 0.03;
    // Applies if the previous version has a high failure rate as well: the target is bad if its
    // rate is higher by this margin and its failures exceed the expected number by this many
    // standard deviations.
    double excessMargin = 0.2;
    double excessDeviations = 4.0;
    // If the previous version got fewer requests than this in the compared time, a fault that
    // affects both versions cannot be distinguished from a fault of the target. The target is then
    // bad only with this many failures and a failure rate above this limit.
    std::uint64_t minPreviousRequests = 10;
    std::uint64_t minFailuresAtHighRate = 10;
    double highFailureRate = 0.25;
    // The target is bad if its mean latency on a route exceeds this multiple of the previous
    // version's, once each version has completed this many requests there. A cold start alone
    // doubles the latency.
    std::uint64_t minTimedRequests = 6;
    double latencyFactor = 3.5;
    // The shares of the target by the elapsed fraction of the duration. All requests before a fault
    // is detected count as exposed. These shares add up to 5% of all requests, half of what a bad
    // version may get; the other half is reserved for a fault that appears when all requests move.
    double canaryUntil = 0.55;
    std::uint32_t canaryShare = 400;
    double partialUntil = 0.8;
    std::uint32_t partialShare = 1'200;
    // The elapsed fractions from which a rollout is completed: the earliest one if the previous
    // version has no in-flight requests, the latest one in any case.
    double earliestCompletion = 0.88;
    double latestCompletion = 0.93;
    // Requests that the target must have completed before it gets more than the canary share.
    std::uint64_t minRequests = 10;
};

class rollout_controller
{
public:
    explicit rollout_controller(const rollout_limits &limits = {});

    // Returns the next decision, or nothing if the rollout stays as it is.
    std::optional<advance_rollout> decide(const rollout &running,
                                          const rollout_evidence &evidence,
                                          std::chrono::nanoseconds elapsed) const;

private:
    std::optional<std::string> findFault(const rollout &running,
                                         const rollout_evidence &evidence) const;
    std::optional<std::string> compare(const route_counts &target,
                                       const route_counts &previous) const;
    bool fails(const version_counts &target, const version_counts &previous) const;
    bool exceedsExpectedFailures(const version_counts &target, double previousRate) const;
    std::uint32_t shareAt(const rollout_evidence &evidence, double elapsedFraction) const;

    rollout_limits m_limits;
};

} // namespace jackdawweir::policy
