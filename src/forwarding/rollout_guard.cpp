#include "jackdawweir/forwarding/rollout_guard.h"

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

rollout_guard::rollout_guard(const rollout_guard_settings &settings)
    : m_settings(settings)
{
}

double rollout_guard::failureRate(const ended_requests &ended)
{
    return ended.empty()
        ? 0.0
        : static_cast<double>(countFailures(ended)) / static_cast<double>(ended.size());
}

void rollout_guard::forget(ended_requests &ended, core::monotonic_time now) const
{
    while (!ended.empty() && ended.front().at + m_settings.span <= now) {
        ended.pop_front();
    }
}

bool rollout_guard::failsTooMany() const
{
    const double rate = failureRate(m_target);
    return countFailures(m_target) >= m_settings.minFailures && rate >= m_settings.minFailureRate
        && rate > m_settings.failureFactor * failureRate(m_previous);
}

void rollout_guard::record(rollout_side side, bool isFailure, core::monotonic_time now)
{
    ended_requests &ended = side == rollout_side::Target ? m_target : m_previous;
    ended.push_back(ended_request{now, isFailure});
    forget(m_target, now);
    forget(m_previous, now);
    if (side == rollout_side::Target && failsTooMany()) {
        m_stoppedUntil = now + m_settings.pause;
        m_target.clear();
    }
}

bool rollout_guard::allowsTarget(core::monotonic_time now) const
{
    return !m_stoppedUntil || now >= *m_stoppedUntil;
}

} // namespace jackdawweir::forwarding
