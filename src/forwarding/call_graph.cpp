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

void call_graph::decaying_count::add(double value,
                                     core::monotonic_time now,
                                     std::chrono::milliseconds halfLife)
{
    m_value = valueAt(now, halfLife) + value;
    m_countedAt = now;
}

double call_graph::decaying_count::valueAt(core::monotonic_time now,
                                           std::chrono::milliseconds halfLife) const
{
    return m_value * std::exp2(-halvings(now - m_countedAt, halfLife));
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
    m_routes[route].runs.add(1, now, m_settings.countHalfLife);
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
    const auto ended
        = std::find_if(first, last, [run](const auto &each) { return each.second.first == run; });
    m_runs.erase(ended);
    m_deadlines.erase(found);
}

const core::route_name *call_graph::findRun(core::monotonic_time deadline) const
{
    const auto found = m_runs.lower_bound(deadline - m_settings.earliestDeadline);
    const bool isNear
        = found != m_runs.end() && found->first <= deadline + m_settings.latestDeadline;
    return isNear ? &found->second.second : nullptr;
}

bool call_graph::isCalledByRuns(const local_requests &requests, core::monotonic_time now) const
{
    const std::chrono::milliseconds halfLife = m_settings.matchHalfLife;
    // The chance is counted at two deadlines for each request, so this is twice the expected
    // number.
    const double byChance = requests.chance.valueAt(now, halfLife);
    const double beyondChance = requests.matches.valueAt(now, halfLife) - byChance;
    return beyondChance >= m_settings.minMatches
        && beyondChance >= m_settings.minMatchedFraction * requests.all.valueAt(now, halfLife);
}

bool call_graph::isCall(const core::route_name &route,
                        core::monotonic_time deadline,
                        core::monotonic_time now)
{
    const std::chrono::milliseconds halfLife = m_settings.matchHalfLife;
    local_requests &requests = m_requests[route];
    requests.all.add(1, now, halfLife);
    if (const core::route_name *caller = findRun(deadline)) {
        requests.matches.add(1, now, halfLife);
        requests.callers[*caller].add(1, now, halfLife);
    }
    for (const auto shift : {-m_settings.chanceDistance, m_settings.chanceDistance}) {
        requests.chance.add(findRun(deadline + shift) == nullptr ? 0 : 1, now, halfLife);
    }
    return isCalledByRuns(requests, now);
}

void call_graph::recordCall(const core::route_name &route,
                            const core::service_name &service,
                            call_result result,
                            core::monotonic_time now)
{
    // The calls whose run is not known are distributed like those whose run is.
    const auto &callers = m_requests[route].callers;
    double matches = 0;
    for (const auto &[caller, count] : callers) {
        matches += count.valueAt(now, m_settings.matchHalfLife);
    }
    for (const auto &[caller, count] : callers) {
        const double share = count.valueAt(now, m_settings.matchHalfLife) / matches;
        m_routes[caller].calls[service].add(share, now, m_settings.countHalfLife);
    }
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
    const double runs = std::max(found->second.runs.valueAt(now, m_settings.countHalfLife), 1.0);
    for (const auto &[service, calls] : found->second.calls) {
        const double perRun = calls.valueAt(now, m_settings.countHalfLife) / runs;
        if (perRun >= m_settings.minCallsPerRun) {
            loads.push_back(downstream_load{
                service, inPerMille(perRun), inPerMille(valueAt(m_refused.at(service), now))});
        }
    }
    return loads;
}

} // namespace jackdawweir::forwarding
