#include "jackdawweir/fleet/departures.h"

#include <algorithm>

namespace jackdawweir::fleet {

departures::departures(const departure_settings &settings)
    : m_settings(settings)
{
}

void departures::add(const departure &left, core::monotonic_time now)
{
    const core::monotonic_time since = now - left.age;
    const auto [found, isNew]
        = m_held.try_emplace(left.instance, held_departure{left.startedUpTo, since});
    held_departure &held = found->second;
    if (isNew || left.startedUpTo < held.startedUpTo) {
        return;
    }
    held.since = left.startedUpTo == held.startedUpTo ? std::min(held.since, since) : since;
    held.startedUpTo = left.startedUpTo;
}

void departures::add(const std::vector<departure> &left, core::monotonic_time now)
{
    for (const departure &each : left) {
        add(each, now);
    }
}

std::optional<core::monotonic_time> departures::since(const instance_name &instance,
                                                      std::chrono::milliseconds startedAt) const
{
    const auto found = m_held.find(instance);
    if (found == m_held.end() || startedAt > found->second.startedUpTo) {
        return std::nullopt;
    }
    return found->second.since;
}

void departures::expire(core::monotonic_time now)
{
    std::erase_if(m_held,
                  [&](const auto &each) { return now >= each.second.since + m_settings.keepFor; });
}

bool departures::isEmpty() const
{
    return m_held.empty();
}

std::vector<departure> departures::listed(core::monotonic_time now) const
{
    std::vector<departure> all;
    for (const auto &[instance, held] : m_held) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - held.since);
        all.push_back(departure{instance, held.startedUpTo, age});
    }
    return all;
}

} // namespace jackdawweir::fleet
