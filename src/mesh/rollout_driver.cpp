#include "jackdawweir/mesh/rollout_driver.h"

#include <algorithm>

namespace jackdawweir::mesh {

namespace {

// The in-flight requests of a node are no longer counted once it has sent nothing for this long.
constexpr std::chrono::milliseconds inFlightMaxAge{1'500};

// Long enough for tens of requests at the smallest share, and short enough for a fault to show
// immediately.
constexpr std::chrono::milliseconds recentWindow{2'000};

void addAll(policy::route_counts &sum, const policy::route_counts &added)
{
    for (const auto &[route, counts] : added) {
        sum[route].add(counts);
    }
}

std::uint64_t difference(std::uint64_t now, std::uint64_t before)
{
    // A node that restarts counts from zero again.
    return now > before ? now - before : 0;
}

policy::route_counts difference(const policy::route_counts &now, const policy::route_counts &before)
{
    policy::route_counts changed;
    for (const auto &[route, counts] : now) {
        const auto found = before.find(route);
        const policy::version_counts earlier
            = found == before.end() ? policy::version_counts{} : found->second;
        changed[route]
            = policy::version_counts{difference(counts.requests, earlier.requests),
                                     difference(counts.failures, earlier.failures),
                                     difference(counts.latencyMicros, earlier.latencyMicros),
                                     difference(counts.late, earlier.late)};
    }
    return changed;
}

} // namespace

rollout_driver::rollout_driver(const policy::rollout_limits &limits)
    : m_controller(limits)
{
}

void rollout_driver::addRecent(std::uint64_t rollout,
                               policy::rollout_evidence &evidence,
                               core::monotonic_time now)
{
    std::deque<count_snapshot> &history = m_history[rollout];
    history.push_back(count_snapshot{now, evidence.target, evidence.previous});
    while (history.size() > 1 && now >= history[1].at + recentWindow) {
        history.pop_front();
    }
    evidence.recentTarget = difference(evidence.target, history.front().target);
    evidence.recentPrevious = difference(evidence.previous, history.front().previous);
    evidence.recentPeriod = now - history.front().at;
}

void rollout_driver::addReports(const core::host_name &host,
                                const std::vector<fleet::rollout_report> &reports,
                                core::monotonic_time now)
{
    for (const fleet::rollout_report &each : reports) {
        m_reports[each.rollout][host] = received_report{each, now};
    }
}

void rollout_driver::recordStart(std::uint64_t rollout, core::monotonic_time now)
{
    m_startedAt.emplace(rollout, now);
}

std::chrono::nanoseconds rollout_driver::elapsedOf(const policy::rollout &running,
                                                   core::monotonic_time now,
                                                   core::wall_time wallNow)
{
    const auto started = m_startedAt.find(running.id);
    if (started != m_startedAt.end()) {
        return now - started->second;
    }
    // This source started after the rollout, so only the wall clocks give the elapsed time.
    const std::chrono::nanoseconds byWall = wallNow - running.orderedAt;
    const std::chrono::nanoseconds longest = running.duration;
    const auto elapsed = std::clamp(byWall, std::chrono::nanoseconds(0), longest);
    m_startedAt.emplace(running.id, now - elapsed);
    return elapsed;
}

policy::rollout_evidence rollout_driver::evidenceFor(const policy::rollout &running,
                                                     const std::vector<fleet::host_record> &hosts,
                                                     core::monotonic_time now) const
{
    policy::rollout_evidence evidence;
    for (const fleet::host_record &host : hosts) {
        for (const fleet::server_record &server : host.servers) {
            const bool isTarget
                = server.service == running.service && server.version == running.target;
            evidence.isTargetPresent = evidence.isTargetPresent || (isTarget && !server.isDraining);
        }
    }
    const auto reports = m_reports.find(running.id);
    if (reports == m_reports.end()) {
        return evidence;
    }
    for (const auto &[host, reported] : reports->second) {
        addAll(evidence.target, reported.last.target);
        addAll(evidence.previous, reported.last.previous);
        if (now < reported.receivedAt + inFlightMaxAge) {
            evidence.previousInFlight += reported.last.previousInFlight;
        }
    }
    return evidence;
}

std::vector<policy::advance_rollout>
rollout_driver::decide(const policy::policy_view &view,
                       const std::vector<fleet::host_record> &hosts,
                       core::monotonic_time now,
                       core::wall_time wallNow)
{
    std::vector<policy::advance_rollout> decisions;
    for (const policy::rollout &each : view.rollouts) {
        if (each.phase != policy::rollout_phase::Running) {
            m_reports.erase(each.id);
            m_history.erase(each.id);
            m_startedAt.erase(each.id);
            continue;
        }
        policy::rollout_evidence evidence = evidenceFor(each, hosts, now);
        addRecent(each.id, evidence, now);
        const std::optional<policy::advance_rollout> decision
            = m_controller.decide(each, evidence, elapsedOf(each, now, wallNow));
        if (decision) {
            decisions.push_back(*decision);
        }
    }
    return decisions;
}

} // namespace jackdawweir::mesh
