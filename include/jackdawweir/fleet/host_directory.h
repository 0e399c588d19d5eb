// A source's directory of hosts, built from the reports of their nodes. It is kept in memory only:
// after a restart of the source, the nodes fill it within one report interval.
//
//     host_directory directory(settings, epoch);
//     directory.report(record, departedServers, now);
//     directory.expire(now);
//     const directory_changes changes = directory.since(epochAtNode, numberAtNode);

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/fleet/departures.h"
#include "jackdawweir/fleet/host_table.h"
#include "jackdawweir/fleet/records.h"

namespace jackdawweir::fleet {

struct directory_settings {
    // A host whose node sends no report for this long is removed: four report intervals and a pause
    // of the node's process.
    std::chrono::milliseconds hostTimeout{2'500};
    // Once the known incarnation of a node has sent no report for this long, a report with an
    // earlier incarnation is accepted: the node restarted after its clock was set back. Until then
    // it is ignored as a delayed report.
    std::chrono::milliseconds supersedeAfter{1'500};
};

class host_directory
{
public:
    // The epoch differs at each start of a source and is not zero.
    host_directory(const directory_settings &settings, std::uint64_t epoch);

    // Stores a host's record and the departed servers of the host. These are listed as draining
    // even if the node restarts and reports otherwise. Returns true if the directory changed.
    bool report(const host_record &reported,
                const std::vector<departure> &departedServers,
                core::monotonic_time now);
    // Removes hosts whose nodes no longer report, and old departures. Returns true if the directory
    // changed.
    bool expire(core::monotonic_time now);

    std::uint64_t epoch() const;
    // The number of the last change.
    std::uint64_t number() const;

    // Returns the changes after `number` of `epoch`, or the whole directory if `epoch` is another
    // one.
    directory_changes since(std::uint64_t epoch, std::uint64_t number) const;

    std::vector<host_record> hosts() const;

    // Returns the departed servers of all hosts whose departure was acknowledged within this time.
    departed_servers departedWithin(std::chrono::milliseconds age, core::monotonic_time now) const;

    // Returns the departed servers of one host, or of all hosts.
    std::vector<departure> departed(const core::host_name &host, core::monotonic_time now) const;
    departed_servers departed(core::monotonic_time now) const;

    // Adds departures that another process or an earlier one of this source has recorded. Returns
    // true if the directory changed.
    bool addDeparted(const departed_servers &departedServers, core::monotonic_time now);

    // The number of the last departure that was added. A stored copy of the departures that has
    // this number lacks none.
    std::uint64_t departureNumber() const;

private:
    void recordDeparted(const core::host_name &host,
                        const std::vector<departure> &departedServers,
                        core::monotonic_time now);
    bool updateHost(const host_record &reported, core::monotonic_time now);
    // Marks the departed servers of the host as draining. Returns true if this changed any of them.
    bool drainDepartedServers(const core::host_name &host);

    directory_settings m_settings;
    host_table m_table;
    std::map<core::host_name, core::monotonic_time> m_reportedAt;
    std::map<core::host_name, departures> m_departed;
    std::uint64_t m_departureNumber = 0;
};

} // namespace jackdawweir::fleet
