#include "jackdawweir/fleet/local_servers.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;

local_servers::local_servers(const local_server_settings &settings)
    : m_settings(settings)
{
}

bool local_servers::isCurrent(const known_server &known, core::monotonic_time now) const
{
    return now < known.announcedAt + m_settings.supersedeAfter;
}

bool local_servers::isContradictory(const server_announcement &announcement,
                                    core::monotonic_time now) const
{
    const server_record &announced = announcement.server;
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &each) {
        const server_record &held = each.second.last.server;
        const bool isSameInstance = held.instance == announced.instance;
        const bool isSameAddress = held.address == announced.address;
        if ((!isSameInstance && !isSameAddress) || !isCurrent(each.second, now)) {
            return false;
        }
        const bool isSameService = held.service == announced.service;
        if (isSameInstance && held.startedAt == announced.startedAt) {
            return !isSameAddress || !isSameService || held.version != announced.version;
        }
        return !isSameService && !announcement.isServiceKnown;
    });
}

bool local_servers::isOutdated(const server_announcement &announcement,
                               core::monotonic_time now) const
{
    const auto same = m_servers.find(announcement.server.instance);
    if (same != m_servers.end()) {
        const server_announcement &last = same->second.last;
        const bool isSameStart = last.server.startedAt == announcement.server.startedAt;
        return isSameStart ? announcement.sequence <= last.sequence && isCurrent(same->second, now)
                           : startedBefore(announcement, same->second, now);
    }
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &each) {
        const known_server &other = each.second;
        return other.last.server.address == announcement.server.address
            && startedBefore(announcement, other, now);
    });
}

// Once the known server no longer announces itself, an earlier start time means that the clock was
// set back.
bool local_servers::startedBefore(const server_announcement &announcement,
                                  const known_server &known,
                                  core::monotonic_time now) const
{
    return announcement.server.startedAt < known.last.server.startedAt && isCurrent(known, now);
}

void local_servers::awaitDepartures(core::monotonic_time now)
{
    m_departuresAwaitedSince = now;
}

bool local_servers::isAwaitingDepartures(core::monotonic_time now) const
{
    return m_departuresAwaitedSince
        && now < *m_departuresAwaitedSince + m_settings.maxAnnouncementDelay;
}

std::vector<server_announcement> local_servers::departuresRestored(core::monotonic_time now)
{
    expireHeldBack(now);
    std::vector<server_announcement> latest;
    for (const auto &[instance, heldBack] : m_heldBack) {
        latest.push_back(heldBack.latest);
    }
    m_departuresAwaitedSince.reset();
    m_heldBack.clear();
    return latest;
}

bool local_servers::isDoubtful(const server_announcement &announcement,
                               core::monotonic_time now) const
{
    return isAwaitingDepartures(now) && !announcement.server.isDraining
        && !announcement.wasSentAfterNodeStart && !isKnownStart(announcement);
}

bool local_servers::isKnownStart(const server_announcement &announcement) const
{
    const auto known = m_servers.find(announcement.server.instance);
    return known != m_servers.end()
        && known->second.last.server.startedAt == announcement.server.startedAt;
}

void local_servers::holdBack(const server_announcement &announcement, core::monotonic_time now)
{
    const held_back_server arrived{announcement, now};
    held_back_server &heldBack
        = m_heldBack.try_emplace(announcement.server.instance, arrived).first->second;
    const server_announcement &latest = heldBack.latest;
    if (announcement.server.startedAt != latest.server.startedAt
        || announcement.sequence > latest.sequence) {
        heldBack = arrived;
    }
}

void local_servers::expireHeldBack(core::monotonic_time now)
{
    std::erase_if(m_heldBack, [&](const auto &each) {
        return now >= each.second.latestAt + m_settings.supersedeAfter;
    });
}

announcement_verdict local_servers::announce(const server_announcement &announcement,
                                             core::monotonic_time now)
{
    if (isDoubtful(announcement, now)) {
        holdBack(announcement, now);
        return announcement_verdict::HeldBack;
    }
    if (isContradictory(announcement, now)) {
        return announcement_verdict::Contradictory;
    }
    if (isOutdated(announcement, now)) {
        return handleOutdated(announcement, now);
    }
    const std::size_t before = m_servers.size();
    // A server that starts at an address replaces the one that was there before.
    std::erase_if(m_servers, [&](const auto &each) {
        return each.second.last.server.address == announcement.server.address
            && each.first != announcement.server.instance;
    });
    const bool replacedOther = m_servers.size() != before;
    known_server &known = m_servers[announcement.server.instance];
    const server_announcement previous = known.last;
    const bool isNewStart = known.announcedAt == core::monotonic_time{}
        || previous.server.startedAt != announcement.server.startedAt;
    known.last = announcement;
    known.announcedAt = now;
    if (isNewStart) {
        known.drainingSince.reset();
    }
    if (announcement.server.isDraining) {
        // A server that already drains in its first announcement may have departed from an earlier
        // process of this node, at an unknown time.
        const milliseconds age = isNewStart ? m_settings.expireAfter : milliseconds(0);
        m_departures.add(
            departure{announcement.server.instance, announcement.server.startedAt, age}, now);
    }
    drainIfDeparted(known);
    server_record compared = known.last.server;
    compared.coldFor = previous.server.coldFor;
    const bool isChanged = replacedOther || isNewStart || !(compared == previous.server);
    return isChanged ? announcement_verdict::Changed : announcement_verdict::Refreshed;
}

// A draining server does not become ready again before it restarts, so its departure counts even if
// a later announcement arrived first.
announcement_verdict local_servers::handleOutdated(const server_announcement &announcement,
                                                   core::monotonic_time now)
{
    if (!announcement.server.isDraining) {
        return announcement_verdict::Outdated;
    }
    m_departures.add(departure{announcement.server.instance, announcement.server.startedAt}, now);
    const auto known = m_servers.find(announcement.server.instance);
    const bool isChanged = known != m_servers.end() && drainIfDeparted(known->second);
    return isChanged ? announcement_verdict::Changed : announcement_verdict::Outdated;
}

bool local_servers::drainIfDeparted(known_server &known) const
{
    const server_announcement &last = known.last;
    const std::optional<core::monotonic_time> departedAt
        = m_departures.departedAt(last.server.instance, last.server.startedAt);
    if (departedAt && (!known.drainingSince || *departedAt < *known.drainingSince)) {
        known.drainingSince = departedAt;
    }
    // A departed server stays draining even if it announces itself as ready.
    return known.drainingSince && !std::exchange(known.last.server.isDraining, true);
}

bool local_servers::withdraw(const server_withdrawal &withdrawal, core::monotonic_time now)
{
    const auto found = m_servers.find(withdrawal.instance);
    const bool isKnown = found != m_servers.end();
    // A withdrawal without a start time applies to any process of the server that has started by
    // now, since the known one may be an earlier one.
    const milliseconds knownStart = isKnown ? found->second.last.server.startedAt : milliseconds(0);
    const milliseconds startedUpTo
        = withdrawal.startedAt.value_or(std::max(withdrawal.receivedAt, knownStart));
    m_departures.add(departure{withdrawal.instance, startedUpTo}, now);
    if (isKnown) {
        drainIfDeparted(found->second);
    }
    return isKnown && found->second.drainingSince;
}

std::vector<departure> local_servers::departed(core::monotonic_time now) const
{
    return m_departures.list(now);
}

std::optional<departure> local_servers::departureOf(const instance_name &instance,
                                                    core::monotonic_time now) const
{
    return m_departures.find(instance, now);
}

bool local_servers::restore(const std::vector<departure> &departedServers, core::monotonic_time now)
{
    m_departures.add(departedServers, now);
    bool isChanged = false;
    for (auto &[instance, known] : m_servers) {
        isChanged = drainIfDeparted(known) || isChanged;
    }
    return isChanged;
}

bool local_servers::expire(core::monotonic_time now)
{
    m_departures.expire(now);
    expireHeldBack(now);
    return std::erase_if(m_servers,
                         [&](const auto &each) {
                             return now >= each.second.announcedAt + m_settings.expireAfter;
                         })
        > 0;
}

std::vector<server_record> local_servers::records(core::monotonic_time now) const
{
    std::vector<server_record> listed;
    for (const auto &[instance, known] : m_servers) {
        server_record record = known.last.server;
        const auto passed = std::chrono::duration_cast<milliseconds>(now - known.announcedAt);
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
