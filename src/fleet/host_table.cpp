#include "jackdawweir/fleet/host_table.h"

#include <cstddef>
#include <set>
#include <utility>

namespace jackdawweir::fleet {

namespace {

bool isRelevantChange(const host_record &held, const host_record &next)
{
    host_record compared = next;
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

} // namespace

host_table::host_table(std::uint64_t epoch)
    : m_epoch(epoch)
{
}

bool host_table::set(const host_record &record)
{
    const auto [found, isNew] = m_hosts.try_emplace(record.host);
    numbered_record &held = found->second;
    if (!isNew && held.isListed && !isRelevantChange(held.record, record)) {
        held.record.sequence = record.sequence;
        return false;
    }
    held = numbered_record{record, ++m_number, true};
    return true;
}

bool host_table::remove(const core::host_name &host)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || !std::exchange(found->second.isListed, false)) {
        return false;
    }
    found->second.changedAt = ++m_number;
    return true;
}

bool host_table::assign(const std::vector<host_record> &records)
{
    bool isChanged = false;
    std::set<core::host_name> listed;
    for (const host_record &each : records) {
        listed.insert(each.host);
        isChanged = set(each) || isChanged;
    }
    for (const auto &[host, held] : m_hosts) {
        if (held.isListed && !listed.contains(host)) {
            isChanged = remove(host) || isChanged;
        }
    }
    return isChanged;
}

const host_record *host_table::find(const core::host_name &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() || !found->second.isListed ? nullptr : &found->second.record;
}

const host_record *host_table::findLast(const core::host_name &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second.record;
}

std::vector<host_record> host_table::hosts() const
{
    std::vector<host_record> listed;
    for (const auto &[host, held] : m_hosts) {
        if (held.isListed) {
            listed.push_back(held.record);
        }
    }
    return listed;
}

std::uint64_t host_table::epoch() const
{
    return m_epoch;
}

std::uint64_t host_table::number() const
{
    return m_number;
}

directory_changes host_table::since(std::uint64_t epoch, std::uint64_t number) const
{
    directory_changes changes;
    changes.isWhole = epoch != m_epoch || number > m_number;
    for (const auto &[host, held] : m_hosts) {
        if (!changes.isWhole && held.changedAt <= number) {
            continue;
        }
        if (held.isListed) {
            changes.changed.push_back(held.record);
        } else if (!changes.isWhole) {
            changes.removed.push_back(host);
        }
    }
    return changes;
}

} // namespace jackdawweir::fleet
