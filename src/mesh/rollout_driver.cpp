#include "jackdawweir/mesh/rollout_driver.h"

#include <algorithm>

namespace jackdawweir::mesh {

namespace {

// The requests under way at a node that is silent for this long count no more.
constexpr std::chrono::milliseconds inFlightFreshness{1'500};

// Long enough for tens of requests of the smallest share, short enough that a fault shows at once.
constexpr std::chrono::milliseconds recentSpan{2'000};

void addAll(policy::route_counts &sum, const policy::route_counts &added)
{
    for (const auto &[route, counts] : added) {
        sum[route].add(counts);
    }
}

std::uint64_t difference(std::uint64_t now, std::uint64_t before)
{
    // A node that restarts counts from zero.
    return now > before ? now - before : 0;
}

policy::route_counts difference(const policy::route_counts &now, const policy::route_counts &before)
{
    policy::route_counts changed;
    for (const auto &[route, counts] : now) {
        const auto found = before.find(route);
        const policy::version_counts held
            = found == before.end() ? policy::version_counts{} : found->second;
        changed[route]
            = policy::version_counts{difference(counts.requests, held.requests),
                                     difference(counts.failures, held.failures),
                                     difference(counts.latencyMicros, held.latencyMicros)};
    }
    return changed;
}

} // namespace

void rollout_driver::addRecent(std::uint64_t rollout,
                               policy::rollout_evidence &seen,
                               core::monotonic_time now)
{
    std::deque<counted_sums> &history = m_history[rollout];
    history.push_back(counted_sums{now, seen.target, seen.previous});
    while (history.size() > 1 && now >= history[1].at + recentSpan) {
        history.pop_front();
    }
    seen.recentTarget = difference(seen.target, history.front().target);
    seen.recentPrevious = difference(seen.previous, history.front().previous);
}

void rollout_driver::report(const core::host_name &host,
                            const std::vector<fleet::rollout_report> &reports,
                            core::monotonic_time now)
{
    for (const fleet::rollout_report &each : reports) {
        m_reports[each.rollout][host] = host_report{each, now};
    }
}

void rollout_driver::begun(std::uint64_t rollout, core::monotonic_time now)
{
    m_begunAt.emplace(rollout, now);
}

std::chrono::nanoseconds rollout_driver::elapsedOf(const policy::rollout &running,
                                                   core::monotonic_time now,
                                                   core::wall_time wallNow)
{
    const auto begun = m_begunAt.find(running.id);
    if (begun != m_begunAt.end()) {
        return now - begun->second;
    }
    // This source started after the order, so only the wall clocks tell.
    const std::chrono::nanoseconds byWall = wallNow - running.orderedAt;
    const std::chrono::nanoseconds longest = running.duration;
    const auto elapsed = std::clamp(byWall, std::chrono::nanoseconds(0), longest);
    m_begunAt.emplace(running.id, now - elapsed);
    return elapsed;
}

policy::rollout_evidence rollout_driver::evidenceFor(const policy::rollout &running,
                                                     const std::vector<fleet::host_record> &hosts,
                                                     core::monotonic_time now) const
{
    policy::rollout_evidence seen;
    for (const fleet::host_record &host : hosts) {
        for (const fleet::server_record &server : host.servers) {
            const bool isTarget
                = server.service == running.service && server.version == running.target;
            seen.isTargetPresent = seen.isTargetPresent || (isTarget && !server.isDraining);
        }
    }
    const auto reports = m_reports.find(running.id);
    if (reports == m_reports.end()) {
        return seen;
    }
    for (const auto &[host, reported] : reports->second) {
        addAll(seen.target, reported.last.target);
        addAll(seen.previous, reported.last.previous);
        if (now < reported.heardAt + inFlightFreshness) {
            seen.previousInFlight += reported.last.previousInFlight;
        }
    }
    return seen;
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
            continue;
        }
        policy::rollout_evidence seen = evidenceFor(each, hosts, now);
        addRecent(each.id, seen, now);
        const std::optional<policy::advance_rollout> decision
            = m_controller.decide(each, seen, elapsedOf(each, now, wallNow));
        if (decision) {
            decisions.push_back(*decision);
        }
    }
    return decisions;
}

} // namespace jackdawweir::mesh
