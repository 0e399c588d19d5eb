#include "jackdawweir/fleet/local_servers.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;

local_servers::local_servers(const local_server_settings &settings)
    : m_settings(settings)
{
}

bool local_servers::isOutdated(const server_announcement &heard, core::monotonic_time now) const
{
    const auto same = m_servers.find(heard.server.instance);
    if (same != m_servers.end()) {
        const server_announcement &last = same->second.last;
        const bool isSameStart = last.server.startedAt == heard.server.startedAt;
        return isSameStart ? heard.sequence <= last.sequence
                           : startedBefore(heard, same->second, now);
    }
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &each) {
        const known_server &other = each.second;
        return other.last.server.address == heard.server.address
            && startedBefore(heard, other, now);
    });
}

// Once the known start is silent, an earlier start time is that of a clock that was set back.
bool local_servers::startedBefore(const server_announcement &heard,
                                  const known_server &known,
                                  core::monotonic_time now) const
{
    return heard.server.startedAt < known.last.server.startedAt
        && now < known.heardAt + m_settings.supersedeAfter;
}

announcement_verdict local_servers::announce(const server_announcement &heard,
                                             core::monotonic_time now)
{
    if (isOutdated(heard, now)) {
        return takeOutdated(heard, now);
    }
    const std::size_t before = m_servers.size();
    // A new start at an address ends whatever was there.
    std::erase_if(m_servers, [&](const auto &each) {
        return each.second.last.server.address == heard.server.address
            && each.first != heard.server.instance;
    });
    const bool replacedOther = m_servers.size() != before;
    known_server &known = m_servers[heard.server.instance];
    const server_announcement previous = known.last;
    const bool isNewStart = known.heardAt == core::monotonic_time{}
        || previous.server.startedAt != heard.server.startedAt;
    known.last = heard;
    known.heardAt = now;
    if (isNewStart) {
        known.drainingSince.reset();
    }
    if (heard.server.isDraining) {
        // A server that drains already when it is heard first may have left an earlier process of
        // this node, at a time that is not known.
        const milliseconds age = isNewStart ? m_settings.forgetAfter : milliseconds(0);
        m_departures.add(departure{heard.server.instance, heard.server.startedAt, age}, now);
    }
    drainIfLeft(known);
    server_record compared = known.last.server;
    compared.coldFor = previous.server.coldFor;
    const bool isChanged = replacedOther || isNewStart || !(compared == previous.server);
    return isChanged ? announcement_verdict::Changed : announcement_verdict::Refreshed;
}

// A start that leaves does not become ready again, so the order of its announcements does not
// matter.
announcement_verdict local_servers::takeOutdated(const server_announcement &heard,
                                                 core::monotonic_time now)
{
    if (!heard.server.isDraining) {
        return announcement_verdict::Outdated;
    }
    m_departures.add(departure{heard.server.instance, heard.server.startedAt}, now);
    const auto known = m_servers.find(heard.server.instance);
    const bool isChanged = known != m_servers.end() && drainIfLeft(known->second);
    return isChanged ? announcement_verdict::Changed : announcement_verdict::Outdated;
}

bool local_servers::drainIfLeft(known_server &known) const
{
    const server_announcement &last = known.last;
    const std::optional<core::monotonic_time> since
        = m_departures.since(last.server.instance, last.server.startedAt);
    if (since && (!known.drainingSince || *since < *known.drainingSince)) {
        known.drainingSince = since;
    }
    // A server that has left and still announces itself is leaving all the same.
    return known.drainingSince && !std::exchange(known.last.server.isDraining, true);
}

bool local_servers::withdraw(const server_withdrawal &heard, core::monotonic_time now)
{
    const auto found = m_servers.find(heard.instance);
    const bool isKnown = found != m_servers.end();
    // Without a word of the start, whatever start there is now has left: the one that is known may
    // be an earlier one.
    const milliseconds latest = isKnown ? found->second.last.server.startedAt : milliseconds(0);
    const milliseconds startedUpTo = heard.startedAt.value_or(std::max(heard.heardAt, latest));
    m_departures.add(departure{heard.instance, startedUpTo}, now);
    if (isKnown) {
        drainIfLeft(found->second);
    }
    return isKnown && found->second.drainingSince;
}

std::vector<departure> local_servers::departed(core::monotonic_time now) const
{
    return m_departures.listed(now);
}

bool local_servers::restore(const std::vector<departure> &left, core::monotonic_time now)
{
    m_departures.add(left, now);
    bool isChanged = false;
    for (auto &[instance, known] : m_servers) {
        isChanged = drainIfLeft(known) || isChanged;
    }
    return isChanged;
}

bool local_servers::expire(core::monotonic_time now)
{
    m_departures.expire(now);
    return std::erase_if(m_servers,
                         [&](const auto &each) {
                             return now >= each.second.heardAt + m_settings.forgetAfter;
                         })
        > 0;
}

std::vector<server_record> local_servers::records(core::monotonic_time now) const
{
    std::vector<server_record> listed;
    for (const auto &[instance, known] : m_servers) {
        server_record record = known.last.server;
        const auto passed = std::chrono::duration_cast<milliseconds>(now - known.heardAt);
        record.coldFor = std::max(record.coldFor - passed, milliseconds(0));
        listed.push_back(std::move(record));
    }
    return listed;
}

bool local_servers::takesRequests(const instance_name &instance) const
{
    const auto found = m_servers.find(instance);
    return found != m_servers.end() && !found->second.drainingSince;
}

std::optional<core::monotonic_time>
local_servers::drainingSince(const instance_name &instance) const
{
    const auto found = m_servers.find(instance);
    return found == m_servers.end() ? std::nullopt : found->second.drainingSince;
}

} // namespace jackdawweir::fleet
