#include "jackdawweir/fleet/departures.h"

#include <algorithm>

namespace jackdawweir::fleet {

departures::departures(const departure_settings &settings)
    : m_settings(settings)
{
}

void departures::add(const departure &added, core::monotonic_time now)
{
    const core::monotonic_time departedAt = now - added.age;
    const auto [found, isNew] = m_departures.try_emplace(
        added.instance, recorded_departure{added.startedUpTo, departedAt});
    recorded_departure &recorded = found->second;
    if (isNew || added.startedUpTo < recorded.startedUpTo) {
        return;
    }
    recorded.departedAt = added.startedUpTo == recorded.startedUpTo
        ? std::min(recorded.departedAt, departedAt)
        : departedAt;
    recorded.startedUpTo = added.startedUpTo;
}

void departures::add(const std::vector<departure> &added, core::monotonic_time now)
{
    for (const departure &each : added) {
        add(each, now);
    }
}

std::optional<core::monotonic_time>
departures::departedAt(const instance_name &instance, std::chrono::milliseconds startedAt) const
{
    const auto found = m_departures.find(instance);
    if (found == m_departures.end() || startedAt > found->second.startedUpTo) {
        return std::nullopt;
    }
    return found->second.departedAt;
}

void departures::expire(core::monotonic_time now)
{
    std::erase_if(m_departures, [&](const auto &each) {
        return now >= each.second.departedAt + m_settings.retention;
    });
}

bool departures::isEmpty() const
{
    return m_departures.empty();
}

std::vector<departure> departures::list(core::monotonic_time now) const
{
    std::vector<departure> all;
    for (const auto &[instance, recorded] : m_departures) {
        const auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - recorded.departedAt);
        all.push_back(departure{instance, recorded.startedUpTo, age});
    }
    return all;
}

} // namespace jackdawweir::fleet
