// The part of dispatcher that sends a share of the requests to the target of a rollout and counts
// how the versions answer.

#include <algorithm>
#include <random>
#include <utility>

#include "forwarding/dispatcher_state.h"

namespace jackdawweir::forwarding {

// Selects the rollout's target version for its share of the requests and excludes it from the rest.
void dispatcher::applyRollout(const watched_rollout &watched,
                              core::monotonic_time now,
                              server_criteria &criteria)
{
    const policy::rollout &rollout = watched.rollout;
    if (rollout.phase == policy::rollout_phase::Completed) {
        return;
    }
    criteria.excludedVersions.insert(rollout.target);
    std::uniform_int_distribution<std::uint32_t> draw(0, policy::wholeShare - 1);
    const bool takesTarget = rollout.phase == policy::rollout_phase::Running
        && draw(m_engine) < rollout.share && watched.circuitBreaker.allowsTarget(now);
    if (takesTarget && m_loadBalancer.hasVersion(criteria.service, rollout.target)) {
        criteria.version = rollout.target;
        criteria.excludedVersions.clear();
    }
}

void dispatcher::countVersion(const open_request &open, bool isFailure, core::monotonic_time now)
{
    const auto found = m_rollouts.find(open.service);
    if (found == m_rollouts.end()
        || found->second.rollout.phase != policy::rollout_phase::Running) {
        return;
    }
    watched_rollout &watched = found->second;
    const bool isTarget = open.server.version == watched.rollout.target;
    watched.circuitBreaker.record(
        isTarget ? rollout_version::Target : rollout_version::Previous, isFailure, now);
    auto &counts = isTarget ? watched.report.target : watched.report.previous;
    policy::version_counts &counted = counts[open.route->name.value];
    ++counted.requests;
    counted.failures += isFailure ? 1 : 0;
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - open.sentAt);
    counted.latencyMicros += static_cast<std::uint64_t>(latency.count());
    counted.late += now - open.sentAt > open.route->targetLatency ? 1 : 0;
}

std::vector<fleet::rollout_report> dispatcher::rolloutReports() const
{
    std::vector<fleet::rollout_report> reports;
    for (const auto &[service, watched] : m_rollouts) {
        if (watched.rollout.phase != policy::rollout_phase::Running) {
            continue;
        }
        fleet::rollout_report report = watched.report;
        for (const auto &[number, open] : m_attempts) {
            const bool isPrevious = open->service == service
                && open->serverOf(number).version != watched.rollout.target;
            report.previousInFlight += isPrevious ? 1 : 0;
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

bool dispatcher::isAnyRolloutAtWholeShare() const
{
    return std::any_of(m_rollouts.begin(), m_rollouts.end(), [](const auto &each) {
        const policy::rollout &rollout = each.second.rollout;
        return rollout.phase == policy::rollout_phase::Running
            && rollout.share == policy::wholeShare;
    });
}

} // namespace jackdawweir::forwarding
