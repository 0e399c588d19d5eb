#include "jackdawweir/fleet/host_directory.h"

#include <utility>

namespace jackdawweir::fleet {

namespace {

// Returns true if nodes must receive the reported record. A new sequence number and the elapse of
// the cold time alone need not be sent.
bool isRelevantChange(const host_record &held, const host_record &reported)
{
    host_record compared = reported;
    compared.sequence = held.sequence;
    if (compared.servers.size() == held.servers.size()) {
        for (std::size_t index = 0; index < held.servers.size(); ++index) {
            const bool wasCold = held.servers[index].coldFor.count() > 0;
            const bool isCold = compared.servers[index].coldFor.count() > 0;
            if (wasCold == isCold) {
                compared.servers[index].coldFor = held.servers[index].coldFor;
            }
        }
    }
    return !(compared == held);
}

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
    , m_epoch(epoch)
{
}

bool host_directory::report(const host_record &reported,
                            const std::vector<departure> &departedServers,
                            core::monotonic_time now)
{
    if (!departedServers.empty()) {
        m_departed[reported.host].add(departedServers, now);
    }
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

bool host_directory::drainDepartedServers(const core::host_name &host)
{
    const auto departedServers = m_departed.find(host);
    const auto held = m_hosts.find(host);
    if (departedServers == m_departed.end() || held == m_hosts.end()
        || !drain(departedServers->second, held->second.record)) {
        return false;
    }
    held->second.changedAt = ++m_number;
    return true;
}

bool host_directory::addDeparted(const departed_servers &departedServers, core::monotonic_time now)
{
    bool isChanged = false;
    for (const auto &[host, servers] : departedServers) {
        m_departed[host].add(servers, now);
        isChanged = drainDepartedServers(host) || isChanged;
    }
    return isChanged;
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
    const auto found = m_hosts.find(reported.host);
    if (found == m_hosts.end()) {
        m_hosts[reported.host] = host_entry{reported, now, ++m_number, false};
        return true;
    }
    host_entry &held = found->second;
    const bool isUnreachable = held.isRemoved || now >= held.reportedAt + m_settings.supersedeAfter;
    const bool isSameIncarnation = held.record.incarnation == reported.incarnation;
    if (!isNewer(reported, held.record) && (isSameIncarnation || !isUnreachable)) {
        return false;
    }
    held.reportedAt = now;
    const bool isChanged = held.isRemoved || isRelevantChange(held.record, reported);
    if (isChanged) {
        held.record = reported;
        held.isRemoved = false;
        held.changedAt = ++m_number;
    } else {
        held.record.sequence = reported.sequence;
    }
    return isChanged;
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
    for (auto &[host, held] : m_hosts) {
        if (!held.isRemoved && now >= held.reportedAt + m_settings.hostTimeout) {
            held.isRemoved = true;
            held.changedAt = ++m_number;
            isChanged = true;
        }
    }
    return isChanged;
}

std::uint64_t host_directory::epoch() const
{
    return m_epoch;
}

std::uint64_t host_directory::number() const
{
    return m_number;
}

directory_changes host_directory::since(std::uint64_t epoch, std::uint64_t number) const
{
    directory_changes changes;
    changes.isWhole = epoch != m_epoch || number > m_number;
    for (const auto &[host, held] : m_hosts) {
        if (!changes.isWhole && held.changedAt <= number) {
            continue;
        }
        if (!held.isRemoved) {
            changes.changed.push_back(held.record);
        } else if (!changes.isWhole) {
            changes.removed.push_back(host);
        }
    }
    return changes;
}

std::vector<host_record> host_directory::hosts() const
{
    std::vector<host_record> listed;
    for (const auto &[host, held] : m_hosts) {
        if (!held.isRemoved) {
            listed.push_back(held.record);
        }
    }
    return listed;
}

} // namespace jackdawweir::fleet
