#include "jackdawweir/forwarding/call_graph.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawweir::forwarding {

namespace {

constexpr double perMille = 1000.0;

double halvings(std::chrono::nanoseconds elapsed, std::chrono::milliseconds halfLife)
{
    return std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(halfLife);
}

std::uint32_t inPerMille(double fraction)
{
    return static_cast<std::uint32_t>(std::lround(fraction * perMille));
}

} // namespace

call_graph::call_graph(const call_graph_settings &settings)
    : m_settings(settings)
{
}

double call_graph::valueAt(const decaying_count &count, core::monotonic_time now) const
{
    return count.value * std::exp2(-halvings(now - count.countedAt, m_settings.countHalfLife));
}

void call_graph::add(decaying_count &count, core::monotonic_time now) const
{
    count.value = valueAt(count, now) + 1;
    count.countedAt = now;
}

double call_graph::valueAt(const refused_share &share, core::monotonic_time now) const
{
    return share.value * std::exp2(-halvings(now - share.recordedAt, m_settings.refusalHalfLife));
}

void call_graph::beginRun(std::uint64_t run,
                          const core::route_name &route,
                          core::monotonic_time deadline,
                          core::monotonic_time now)
{
    add(m_routes[route].runs, now);
    m_deadlines[run] = deadline;
    m_runs.emplace(deadline, std::pair(run, route));
}

void call_graph::endRun(std::uint64_t run)
{
    const auto found = m_deadlines.find(run);
    if (found == m_deadlines.end()) {
        return;
    }
    const auto [first, last] = m_runs.equal_range(found->second);
    const auto ended = std::find_if(first, last, [run](const auto &each) {
        return each.second.first == run;
    });
    m_runs.erase(ended);
    m_deadlines.erase(found);
}

std::optional<core::route_name> call_graph::findCaller(core::monotonic_time deadline) const
{
    const auto distanceTo = [deadline](const auto &run) {
        return std::chrono::abs(run.first - deadline);
    };
    const auto first = m_runs.lower_bound(deadline - m_settings.deadlineTolerance);
    const auto last = m_runs.upper_bound(deadline + m_settings.deadlineTolerance);
    const auto nearest = std::min_element(
        first, last, [&](const auto &left, const auto &right) {
            return distanceTo(left) < distanceTo(right);
        });
    return nearest == last ? std::nullopt : std::optional(nearest->second.second);
}

void call_graph::recordCall(const core::route_name &caller,
                            const core::service_name &service,
                            call_result result,
                            core::monotonic_time now)
{
    add(m_routes[caller].calls[service], now);
    refused_share &share = m_refused[service];
    share.value = valueAt(share, now) * (1 - m_settings.refusalWeight)
        + (result == call_result::Refused ? m_settings.refusalWeight : 0.0);
    share.recordedAt = now;
}

std::vector<downstream_load> call_graph::loadsOf(const core::route_name &route,
                                                 core::monotonic_time now) const
{
    std::vector<downstream_load> loads;
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return loads;
    }
    const double runs = std::max(valueAt(found->second.runs, now), 1.0);
    for (const auto &[service, calls] : found->second.calls) {
        const double perRun = valueAt(calls, now) / runs;
        if (perRun >= m_settings.minCallsPerRun) {
            loads.push_back(downstream_load{
                service, inPerMille(perRun), inPerMille(valueAt(m_refused.at(service), now))});
        }
    }
    return loads;
}

} // namespace jackdawweir::forwarding
