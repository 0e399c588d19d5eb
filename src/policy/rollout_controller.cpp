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

} // namespace

void version_counts::add(const version_counts &other)
{
    requests += other.requests;
    failures += other.failures;
    latencyMicros += other.latencyMicros;
}

rollout_controller::rollout_controller(const rollout_limits &limits)
    : m_limits(limits)
{
}

bool rollout_controller::fails(const version_counts &target, const version_counts &previous) const
{
    if (previous.requests < m_limits.minCompared) {
        return target.failures >= m_limits.minFailuresAlone
            && failureRate(target) > m_limits.failureRateAlone;
    }
    const double bound = m_limits.failureMargin + m_limits.failureFactor * failureRate(previous);
    return (target.failures >= m_limits.minFailures && failureRate(target) > bound)
        || failsFarMore(target, failureRate(previous));
}

// Finds a version that fails far more than chance explains although both versions fail: the factor
// alone would ask for a rate near or above one.
bool rollout_controller::failsFarMore(const version_counts &target, double usualRate) const
{
    const double requests = static_cast<double>(target.requests);
    const double expected = usualRate * requests;
    const double deviation = std::sqrt(expected * (1 - usualRate));
    const double excess = static_cast<double>(target.failures) - expected;
    return target.failures >= m_limits.minFailuresAlone
        && excess > m_limits.farMoreMargin * requests
        && excess > m_limits.farMoreDeviations * deviation;
}

// Compares the two versions over one span of time.
std::optional<std::string> rollout_controller::compare(const route_counts &target,
                                                       const route_counts &previous) const
{
    if (fails(totalOf(target), totalOf(previous))) {
        return "the version fails too many requests";
    }
    for (const auto &[route, seen] : target) {
        const auto found = previous.find(route);
        const version_counts compared = found == previous.end() ? version_counts{} : found->second;
        if (fails(seen, compared)) {
            return absl::StrCat("the version fails too many requests of route ", route);
        }
        const bool isTimed = seen.requests >= m_limits.minTimedRequests
            && compared.requests >= m_limits.minTimedRequests;
        if (isTimed && meanLatency(seen) > m_limits.latencyFactor * meanLatency(compared)) {
            return absl::StrCat("the version is too slow on route ", route);
        }
    }
    return std::nullopt;
}

std::optional<std::string> rollout_controller::findFault(const rollout &running,
                                                         const rollout_evidence &seen) const
{
    if (std::optional<std::string> fault = compare(seen.recentTarget, seen.recentPrevious)) {
        return fault;
    }
    if (running.share == wholeShare) {
        // The previous version gets no requests any more, so the sums are of different times.
        return std::nullopt;
    }
    return compare(seen.target, seen.previous);
}

std::uint32_t rollout_controller::shareAt(const rollout_evidence &seen, double part) const
{
    if (!seen.isTargetPresent) {
        return 0;
    }
    const bool isProven = totalOf(seen.target).requests >= m_limits.minRequests;
    if (part < m_limits.probeUntil || !isProven) {
        return m_limits.probeShare;
    }
    return part < m_limits.partUntil ? m_limits.partShare : wholeShare;
}

std::optional<advance_rollout> rollout_controller::decide(const rollout &running,
                                                          const rollout_evidence &seen,
                                                          std::chrono::nanoseconds elapsed) const
{
    if (running.phase != rollout_phase::Running) {
        return std::nullopt;
    }
    advance_rollout decision{running.service, running.id, rollout_phase::Running, 0, ""};
    if (const std::optional<std::string> fault = findFault(running, seen)) {
        decision.phase = rollout_phase::RolledBack;
        decision.reason = *fault;
        return decision;
    }
    const double part = std::chrono::duration<double>(elapsed).count()
        / std::chrono::duration<double>(running.duration).count();
    if (running.share == wholeShare && part >= m_limits.completeFrom
        && (seen.previousInFlight == 0 || part >= m_limits.completeAt)) {
        decision.phase = rollout_phase::Completed;
        decision.share = wholeShare;
        decision.reason = "all traffic has moved";
        return decision;
    }
    if (part >= 1.0 && running.share < wholeShare) {
        decision.phase = rollout_phase::RolledBack;
        decision.reason = "the time is over and too little is known of the version";
        return decision;
    }
    // The share only rises: servers of the target that restart must not send traffic to and fro.
    decision.share = std::max(running.share, shareAt(seen, part));
    if (decision.share == running.share) {
        return std::nullopt;
    }
    decision.reason = "the share follows the time that has passed";
    return decision;
}

} // namespace jackdawweir::policy
