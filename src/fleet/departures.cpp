#include "jackdawweir/fleet/departures.h"

#include <algorithm>

namespace jackdawweir::fleet {

departures::departures(const departure_settings &settings)
    : m_settings(settings)
{
}

bool departures::add(const departure &added, core::monotonic_time now)
{
    const core::monotonic_time departedAt = now - added.age;
    const auto [found, isNew] = m_departures.try_emplace(
        added.instance, recorded_departure{added.startedUpTo, departedAt});
    recorded_departure &recorded = found->second;
    if (isNew || added.startedUpTo < recorded.startedUpTo) {
        return isNew;
    }
    if (added.startedUpTo == recorded.startedUpTo) {
        recorded.departedAt = std::min(recorded.departedAt, departedAt);
        return false;
    }
    recorded = recorded_departure{added.startedUpTo, departedAt};
    return true;
}

bool departures::add(const std::vector<departure> &added, core::monotonic_time now)
{
    bool isAnyNew = false;
    for (const departure &each : added) {
        isAnyNew = add(each, now) || isAnyNew;
    }
    return isAnyNew;
}

std::optional<departure> departures::find(const instance_name &instance,
                                          core::monotonic_time now) const
{
    const auto found = m_departures.find(instance);
    if (found == m_departures.end()) {
        return std::nullopt;
    }
    return describe(instance, found->second, now);
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
        all.push_back(describe(instance, recorded, now));
    }
    return all;
}

departure departures::describe(const instance_name &instance,
                               const recorded_departure &recorded,
                               core::monotonic_time now)
{
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - recorded.departedAt);
    return departure{instance, recorded.startedUpTo, age};
}

} // namespace jackdawweir::fleet
