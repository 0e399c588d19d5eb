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
    const auto [found, isNew]
        = m_held.try_emplace(added.instance, held_departure{added.startedUpTo, departedAt});
    held_departure &held = found->second;
    if (isNew || added.startedUpTo < held.startedUpTo) {
        return;
    }
    held.departedAt = added.startedUpTo == held.startedUpTo ? std::min(held.departedAt, departedAt)
                                                            : departedAt;
    held.startedUpTo = added.startedUpTo;
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
    const auto found = m_held.find(instance);
    if (found == m_held.end() || startedAt > found->second.startedUpTo) {
        return std::nullopt;
    }
    return found->second.departedAt;
}

void departures::expire(core::monotonic_time now)
{
    std::erase_if(m_held, [&](const auto &each) {
        return now >= each.second.departedAt + m_settings.retention;
    });
}

bool departures::isEmpty() const
{
    return m_held.empty();
}

std::vector<departure> departures::list(core::monotonic_time now) const
{
    std::vector<departure> all;
    for (const auto &[instance, held] : m_held) {
        const auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - held.departedAt);
        all.push_back(departure{instance, held.startedUpTo, age});
    }
    return all;
}

} // namespace jackdawweir::fleet
