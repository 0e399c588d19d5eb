// Decides the share of a rollout's new version (the target) from the elapsed time and from the
// results of its requests.
//
// A version may begin to fail at any moment, also after the servers of the previous version have
// stopped. The requests that it gets before the deadline therefore come out of one budget: the
// target gets a small canary share, and all requests move only when those that are expected up to
// the deadline fit into what is left of the budget.
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
    // Requests that took longer than the target latency of their route.
    std::uint64_t late = 0;

    void add(const version_counts &other);

    friend bool operator==(const version_counts &, const version_counts &) = default;

    MSGPACK_DEFINE_ARRAY(requests, failures, latencyMicros, late)
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
    // The time that the recent counts cover.
    std::chrono::nanoseconds recentPeriod{0};
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
    // It is also bad if at least this number of its requests on a route are late and the fraction
    // exceeds failureFactor times the previous version's plus this margin. A mean hides a version
    // of which only some requests are slow.
    std::uint64_t minLate = 5;
    double lateMargin = 0.25;
    // The requests that a bad version may get up to the deadline: this fraction of all requests of
    // the service, and this many more.
    double exposureFraction = 0.1;
    double exposureMargin = 50;
    // The fraction of that budget that is spent. The rest covers requests that are not reported yet
    // and a rate that rises before the deadline.
    double usableFraction = 0.9;
    // The share of the target until all requests move.
    std::uint32_t canaryShare = 300;
    // All requests move at the earliest when this fraction of the duration is left, and at the
    // latest when this time is left, which in-flight requests of the previous version need.
    double longestFinalFraction = 0.2;
    std::chrono::milliseconds shortestFinalPhase{700};
    // Within the shortest final phase, a rollout is completed once the target has answered the
    // requests of this time and the previous version has no in-flight requests. It is completed in
    // any case when the time below is left, so that the decision is committed by the deadline.
    std::chrono::milliseconds minTimeAtFullLoad{300};
    std::chrono::milliseconds latestCompletion{400};
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
    bool isTooSlow(const version_counts &target, const version_counts &previous) const;
    bool exceedsExpectedFailures(const version_counts &target, double previousRate) const;
    std::uint32_t shareAt(const rollout &running,
                          const rollout_evidence &evidence,
                          std::chrono::nanoseconds remaining) const;
    bool isWithinBudget(const rollout_evidence &evidence, std::chrono::nanoseconds remaining) const;
    bool mayComplete(const rollout_evidence &evidence, std::chrono::nanoseconds remaining) const;

    rollout_limits m_limits;
};

} // namespace jackdawweir::policy
