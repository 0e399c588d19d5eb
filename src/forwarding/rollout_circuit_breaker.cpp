#include "jackdawweir/forwarding/rollout_circuit_breaker.h"

#include <algorithm>

namespace jackdawweir::forwarding {

namespace {

template<typename Requests>
std::size_t countFailures(const Requests &ended)
{
    return static_cast<std::size_t>(
        std::count_if(ended.begin(), ended.end(), [](const auto &each) { return each.isFailure; }));
}

} // namespace

rollout_circuit_breaker::rollout_circuit_breaker(const rollout_circuit_breaker_settings &settings)
    : m_settings(settings)
{
}

double rollout_circuit_breaker::failureRate(const ended_requests &ended)
{
    return ended.empty()
        ? 0.0
        : static_cast<double>(countFailures(ended)) / static_cast<double>(ended.size());
}

void rollout_circuit_breaker::removeExpired(ended_requests &ended, core::monotonic_time now) const
{
    while (!ended.empty() && ended.front().at + m_settings.window <= now) {
        ended.pop_front();
    }
}

bool rollout_circuit_breaker::failsTooMany() const
{
    const double rate = failureRate(m_target);
    return countFailures(m_target) >= m_settings.minFailures && rate >= m_settings.minFailureRate
        && rate > m_settings.failureFactor * failureRate(m_previous);
}

void rollout_circuit_breaker::record(rollout_version version,
                                     bool isFailure,
                                     core::monotonic_time now)
{
    ended_requests &ended = version == rollout_version::Target ? m_target : m_previous;
    ended.push_back(ended_request{now, isFailure});
    removeExpired(m_target, now);
    removeExpired(m_previous, now);
    if (version == rollout_version::Target && failsTooMany()) {
        m_openUntil = now + m_settings.openPeriod;
        m_target.clear();
    }
}

bool rollout_circuit_breaker::allowsTarget(core::monotonic_time now) const
{
    return !m_openUntil || now >= *m_openUntil;
}

} // namespace jackdawweir::forwarding
