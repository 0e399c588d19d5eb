#include "jackdawweir/fleet/host_directory.h"

#include <utility>

namespace jackdawweir::fleet {

namespace {

// Marks the departed servers of the record as draining. Returns true if this changed any of them.
bool drain(const departures &departedServers, host_record &record)
{
    bool isChanged = false;
    for (server_record &each : record.servers) {
        if (departedServers.departedAt(each.instance, each.startedAt)) {
            isChanged = !std::exchange(each.isDraining, true) || isChanged;
        }
    }
    return isChanged;
}

} // namespace

host_directory::host_directory(const directory_settings &settings, std::uint64_t epoch)
    : m_settings(settings)
    , m_table(epoch)
{
}

bool host_directory::report(const host_record &reported,
                            const std::vector<departure> &departedServers,
                            core::monotonic_time now)
{
    recordDeparted(reported.host, departedServers, now);
    const auto departed = m_departed.find(reported.host);
    if (departed == m_departed.end()) {
        return updateHost(reported, now);
    }
    host_record record = reported;
    drain(departed->second, record);
    const bool isChanged = updateHost(record, now);
    // An outdated report leaves the host's record as it is, but it may still name departed servers.
    return drainDepartedServers(reported.host) || isChanged;
}

void host_directory::recordDeparted(const core::host_name &host,
                                    const std::vector<departure> &departedServers,
                                    core::monotonic_time now)
{
    if (!departedServers.empty() && m_departed[host].add(departedServers, now)) {
        ++m_departureNumber;
    }
}

bool host_directory::drainDepartedServers(const core::host_name &host)
{
    const auto departedServers = m_departed.find(host);
    const host_record *held = m_table.find(host);
    if (departedServers == m_departed.end() || held == nullptr) {
        return false;
    }
    host_record record = *held;
    return drain(departedServers->second, record) && m_table.set(record);
}

bool host_directory::addDeparted(const departed_servers &departedServers, core::monotonic_time now)
{
    bool isChanged = false;
    for (const auto &[host, servers] : departedServers) {
        recordDeparted(host, servers, now);
        isChanged = drainDepartedServers(host) || isChanged;
    }
    return isChanged;
}

std::uint64_t host_directory::departureNumber() const
{
    return m_departureNumber;
}

departed_servers host_directory::departed(core::monotonic_time now) const
{
    departed_servers all;
    for (const auto &[host, departedServers] : m_departed) {
        all[host] = departedServers.list(now);
    }
    return all;
}

bool host_directory::updateHost(const host_record &reported, core::monotonic_time now)
{
    const host_record *last = m_table.findLast(reported.host);
    core::monotonic_time &reportedAt = m_reportedAt[reported.host];
    if (last != nullptr && !isNewer(reported, *last)) {
        const bool isSilent = m_table.find(reported.host) == nullptr
            || now >= reportedAt + m_settings.supersedeAfter;
        if (last->incarnation == reported.incarnation || !isSilent) {
            return false;
        }
    }
    reportedAt = now;
    return m_table.set(reported);
}

std::vector<departure> host_directory::departed(const core::host_name &host,
                                                core::monotonic_time now) const
{
    const auto found = m_departed.find(host);
    return found == m_departed.end() ? std::vector<departure>{} : found->second.list(now);
}

bool host_directory::expire(core::monotonic_time now)
{
    for (auto &[host, departedServers] : m_departed) {
        departedServers.expire(now);
    }
    std::erase_if(m_departed, [](const auto &each) { return each.second.isEmpty(); });
    bool isChanged = false;
    for (const auto &[host, reportedAt] : m_reportedAt) {
        if (now >= reportedAt + m_settings.hostTimeout) {
            isChanged = m_table.remove(host) || isChanged;
        }
    }
    return isChanged;
}

departed_servers host_directory::departedWithin(std::chrono::milliseconds age,
                                                core::monotonic_time now) const
{
    departed_servers recent = departed(now);
    for (auto &[host, departedServers] : recent) {
        std::erase_if(departedServers, [age](const departure &each) { return each.age > age; });
    }
    std::erase_if(recent, [](const auto &each) { return each.second.empty(); });
    return recent;
}

std::uint64_t host_directory::epoch() const
{
    return m_table.epoch();
}

std::uint64_t host_directory::number() const
{
    return m_table.number();
}

directory_changes host_directory::since(std::uint64_t epoch, std::uint64_t number) const
{
    return m_table.since(epoch, number);
}

std::vector<host_record> host_directory::hosts() const
{
    return m_table.hosts();
}

} // namespace jackdawweir::fleet
