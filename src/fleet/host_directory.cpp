#include "jackdawweir/fleet/host_directory.h"

#include <utility>

namespace jackdawweir::fleet {

namespace {

// Returns true where a node must be told: the sequence and the passing of the cold time alone are
// no news.
bool isNews(const host_record &held, const host_record &reported)
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

// Returns true where a server of the record drains from now on, since it has left.
bool drain(const departures &left, host_record &record)
{
    bool isChanged = false;
    for (server_record &each : record.servers) {
        if (left.since(each.instance, each.startedAt)) {
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
                            const std::vector<departure> &left,
                            core::monotonic_time now)
{
    if (!left.empty()) {
        m_departed[reported.host].add(left, now);
    }
    const auto departed = m_departed.find(reported.host);
    if (departed == m_departed.end()) {
        return take(reported, now);
    }
    host_record record = reported;
    drain(departed->second, record);
    const bool isChanged = take(record, now);
    // A late report that is not taken may still tell of servers that have left.
    return drainDeparted(reported.host) || isChanged;
}

bool host_directory::drainDeparted(const core::host_name &host)
{
    const auto left = m_departed.find(host);
    const auto held = m_hosts.find(host);
    if (left == m_departed.end() || held == m_hosts.end()
        || !drain(left->second, held->second.record)) {
        return false;
    }
    held->second.changedAt = ++m_number;
    return true;
}

bool host_directory::addDeparted(const departed_servers &left, core::monotonic_time now)
{
    bool isChanged = false;
    for (const auto &[host, servers] : left) {
        m_departed[host].add(servers, now);
        isChanged = drainDeparted(host) || isChanged;
    }
    return isChanged;
}

departed_servers host_directory::departed(core::monotonic_time now) const
{
    departed_servers all;
    for (const auto &[host, left] : m_departed) {
        all[host] = left.listed(now);
    }
    return all;
}

bool host_directory::take(const host_record &reported, core::monotonic_time now)
{
    const auto found = m_hosts.find(reported.host);
    if (found == m_hosts.end()) {
        m_hosts[reported.host] = listed_host{reported, now, ++m_number, false};
        return true;
    }
    listed_host &held = found->second;
    const bool isSilent = held.isRemoved || now >= held.heardAt + m_settings.supersedeAfter;
    const bool isSameStart = held.record.incarnation == reported.incarnation;
    if (!isNewer(reported, held.record) && (isSameStart || !isSilent)) {
        return false;
    }
    held.heardAt = now;
    const bool isChanged = held.isRemoved || isNews(held.record, reported);
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
    return found == m_departed.end() ? std::vector<departure>{} : found->second.listed(now);
}

bool host_directory::expire(core::monotonic_time now)
{
    for (auto &[host, left] : m_departed) {
        left.expire(now);
    }
    std::erase_if(m_departed, [](const auto &each) { return each.second.isEmpty(); });
    bool isChanged = false;
    for (auto &[host, held] : m_hosts) {
        if (!held.isRemoved && now >= held.heardAt + m_settings.silenceLimit) {
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
    directory_changes news;
    news.isWhole = epoch != m_epoch || number > m_number;
    for (const auto &[host, held] : m_hosts) {
        if (!news.isWhole && held.changedAt <= number) {
            continue;
        }
        if (!held.isRemoved) {
            news.changed.push_back(held.record);
        } else if (!news.isWhole) {
            news.removed.push_back(host);
        }
    }
    return news;
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
