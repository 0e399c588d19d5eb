#include "jackdawweir/forwarding/slot_reserve.h"

#include <algorithm>
#include <cmath>

namespace jackdawweir::forwarding {

namespace {

using std::chrono::microseconds;

double inSeconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

slot_reserve::slot_reserve(const slot_reserve_settings &settings)
    : m_settings(settings)
{
}

double slot_reserve::decayed(const recent_arrivals &arrivals, core::monotonic_time now) const
{
    const double age = inSeconds(now - arrivals.updatedAt);
    return arrivals.seconds * std::exp(-age / inSeconds(m_settings.memory));
}

void slot_reserve::noteArrival(request_urgency urgency,
                               microseconds runTime,
                               microseconds slack,
                               core::monotonic_time now)
{
    const auto [found, isNew] = m_arrivals.try_emplace(urgency);
    recent_arrivals &arrivals = found->second;
    const double weight = isNew ? 1 : m_settings.slackWeight;
    const auto change = std::chrono::duration<double, std::micro>(slack - arrivals.meanSlack);
    arrivals.meanSlack += std::chrono::duration_cast<microseconds>(change * weight);
    arrivals.seconds = decayed(arrivals, now) + inSeconds(runTime);
    arrivals.updatedAt = now;
}

std::uint32_t slot_reserve::slotsKeptFrom(request_urgency urgency,
                                          microseconds runTime,
                                          std::uint32_t slots,
                                          core::monotonic_time now) const
{
    double busySlots = 0;
    for (const auto &[each, arrivals] : m_arrivals) {
        if (each >= urgency) {
            break;
        }
        if (runTime > arrivals.meanSlack) {
            busySlots += decayed(arrivals, now) / inSeconds(m_settings.memory);
        }
    }
    const double wanted = busySlots + m_settings.deviations * std::sqrt(busySlots);
    return static_cast<std::uint32_t>(std::min(wanted, m_settings.maxFraction * slots));
}

} // namespace jackdawweir::forwarding
