#include "jackdawweir/policy/rollout_controller.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace jackdawweir::policy {

namespace {

version_counts totalOf(const route_counts &byRoute)
{
    version_counts total;
    for (const auto &[route, counts] : byRoute) {
        total.add(counts);
    }
    return total;
}

double failureRate(const version_counts &counts)
{
    return counts.requests == 0
        ? 0.0
        : static_cast<double>(counts.failures) / static_cast<double>(counts.requests);
}

double meanLatency(const version_counts &counts)
{
    return counts.requests == 0
        ? 0.0
        : static_cast<double>(counts.latencyMicros) / static_cast<double>(counts.requests);
}

double lateRate(const version_counts &counts)
{
    return counts.requests == 0
        ? 0.0
        : static_cast<double>(counts.late) / static_cast<double>(counts.requests);
}

double inSeconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

// Returns the requests to both versions per second in the last seconds.
double recentRate(const rollout_evidence &evidence)
{
    if (evidence.recentPeriod <= std::chrono::nanoseconds(0)) {
        return 0;
    }
    const std::uint64_t requests
        = totalOf(evidence.recentTarget).requests + totalOf(evidence.recentPrevious).requests;
    return static_cast<double>(requests) / inSeconds(evidence.recentPeriod);
}

} // namespace

void version_counts::add(const version_counts &other)
{
    requests += other.requests;
    failures += other.failures;
    latencyMicros += other.latencyMicros;
    late += other.late;
}

rollout_controller::rollout_controller(const rollout_limits &limits)
    : m_limits(limits)
{
}

bool rollout_controller::fails(const version_counts &target, const version_counts &previous) const
{
    if (previous.requests < m_limits.minPreviousRequests) {
        return target.failures >= m_limits.minFailuresAtHighRate
            && failureRate(target) > m_limits.highFailureRate;
    }
    const double bound = m_limits.failureMargin + m_limits.failureFactor * failureRate(previous);
    return (target.failures >= m_limits.minFailures && failureRate(target) > bound)
        || exceedsExpectedFailures(target, failureRate(previous));
}

// Detects a target that fails significantly more often although both versions fail. The failure
// factor cannot detect it, since it would require a rate near or above one.
bool rollout_controller::exceedsExpectedFailures(const version_counts &target,
                                                 double previousRate) const
{
    const double requests = static_cast<double>(target.requests);
    const double expected = previousRate * requests;
    const double deviation = std::sqrt(expected * (1 - previousRate));
    const double excess = static_cast<double>(target.failures) - expected;
    return target.failures >= m_limits.minFailuresAtHighRate
        && excess > m_limits.excessMargin * requests
        && excess > m_limits.excessDeviations * deviation;
}

bool rollout_controller::isTooSlow(const version_counts &target,
                                   const version_counts &previous) const
{
    if (target.requests < m_limits.minTimedRequests
        || previous.requests < m_limits.minTimedRequests) {
        return false;
    }
    const double lateBound = m_limits.lateMargin + m_limits.failureFactor * lateRate(previous);
    return meanLatency(target) > m_limits.latencyFactor * meanLatency(previous)
        || (target.late >= m_limits.minLate && lateRate(target) > lateBound);
}

// Compares the two versions over one period of time.
std::optional<std::string> rollout_controller::compare(const route_counts &target,
                                                       const route_counts &previous) const
{
    if (fails(totalOf(target), totalOf(previous))) {
        return "the version fails too many requests";
    }
    for (const auto &[route, targetCounts] : target) {
        const auto found = previous.find(route);
        const version_counts previousCounts
            = found == previous.end() ? version_counts{} : found->second;
        if (fails(targetCounts, previousCounts)) {
            return absl::StrCat("the version fails too many requests of route ", route);
        }
        if (isTooSlow(targetCounts, previousCounts)) {
            return absl::StrCat("the version is too slow on route ", route);
        }
    }
    return std::nullopt;
}

std::optional<std::string> rollout_controller::findFault(const rollout &running,
                                                         const rollout_evidence &evidence) const
{
    if (std::optional<std::string> fault
        = compare(evidence.recentTarget, evidence.recentPrevious)) {
        return fault;
    }
    if (running.share == wholeShare) {
        // The previous version no longer gets requests, so the totals cover different times.
        return std::nullopt;
    }
    return compare(evidence.target, evidence.previous);
}

// Returns true if the target stays within its budget when it gets all requests from now on.
bool rollout_controller::isWithinBudget(const rollout_evidence &evidence,
                                        std::chrono::nanoseconds remaining) const
{
    const double sentToTarget = static_cast<double>(totalOf(evidence.target).requests);
    const double sent = sentToTarget + static_cast<double>(totalOf(evidence.previous).requests);
    const double expected = recentRate(evidence) * inSeconds(remaining);
    const double budget = m_limits.exposureFraction * (sent + expected) + m_limits.exposureMargin;
    return sentToTarget + expected <= m_limits.usableFraction * budget;
}

std::uint32_t rollout_controller::shareAt(const rollout &running,
                                          const rollout_evidence &evidence,
                                          std::chrono::nanoseconds remaining) const
{
    if (!evidence.isTargetPresent) {
        return 0;
    }
    const bool hasEnoughRequests = totalOf(evidence.target).requests >= m_limits.minRequests;
    const double longest = m_limits.longestFinalFraction * inSeconds(running.duration);
    if (!hasEnoughRequests || inSeconds(remaining) > longest) {
        return m_limits.canaryShare;
    }
    const bool isLatest = remaining <= m_limits.shortestFinalPhase;
    return isLatest || isWithinBudget(evidence, remaining) ? wholeShare : m_limits.canaryShare;
}

bool rollout_controller::mayComplete(const rollout_evidence &evidence,
                                     std::chrono::nanoseconds remaining) const
{
    if (remaining <= m_limits.latestCompletion) {
        return true;
    }
    if (remaining > m_limits.shortestFinalPhase) {
        return false;
    }
    const double requiredRequests = recentRate(evidence) * inSeconds(m_limits.minTimeAtFullLoad);
    const double answered = static_cast<double>(totalOf(evidence.recentTarget).requests);
    return evidence.previousInFlight == 0 && answered >= requiredRequests;
}

std::optional<advance_rollout> rollout_controller::decide(const rollout &running,
                                                          const rollout_evidence &evidence,
                                                          std::chrono::nanoseconds elapsed) const
{
    if (running.phase != rollout_phase::Running) {
        return std::nullopt;
    }
    advance_rollout decision{running.service, running.id, rollout_phase::Running, 0, ""};
    if (const std::optional<std::string> fault = findFault(running, evidence)) {
        decision.phase = rollout_phase::RolledBack;
        decision.reason = *fault;
        return decision;
    }
    const std::chrono::nanoseconds remaining = running.duration - elapsed;
    if (running.share == wholeShare && mayComplete(evidence, remaining)) {
        decision.phase = rollout_phase::Completed;
        decision.share = wholeShare;
        decision.reason = "all traffic has moved";
        return decision;
    }
    if (remaining <= std::chrono::nanoseconds(0) && running.share < wholeShare) {
        decision.phase = rollout_phase::RolledBack;
        decision.reason = "the time is over and too little is known of the version";
        return decision;
    }
    // The share never decreases, so that restarting servers of the target do not shift traffic back
    // and forth.
    decision.share = std::max(running.share, shareAt(running, evidence, remaining));
    if (decision.share == running.share) {
        return std::nullopt;
    }
    decision.reason = "the share follows the time that has passed";
    return decision;
}

} // namespace jackdawweir::policy
