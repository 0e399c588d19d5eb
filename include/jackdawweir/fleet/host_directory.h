// A source's directory of hosts, from the reports of their nodes. Kept in memory only: after a
// start it fills within one report interval.
//
//     host_directory directory(settings, epoch);
//     directory.report(record, now);
//     directory.expire(now);
//     const directory_changes news = directory.since(numberThatANodeHolds);

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/fleet/departures.h"
#include "jackdawweir/fleet/records.h"

namespace jackdawweir::fleet {

struct directory_settings {
    // A host whose node is silent for this long is removed: four report intervals and a pause of
    // the node's process.
    std::chrono::milliseconds silenceLimit{2'500};
    // A record of an earlier incarnation counts as a clock that was set back, not as a late
    // report, once the newer one has been silent for this long.
    std::chrono::milliseconds supersedeAfter{1'500};
};

struct directory_changes {
    bool isWhole = false;
    std::vector<host_record> changed;
    std::vector<core::host_name> removed;

    bool isEmpty() const
    {
        return !isWhole && changed.empty() && removed.empty();
    }
};

class host_directory
{
public:
    // The epoch tells the starts of a source apart; it is not zero.
    host_directory(const directory_settings &settings, std::uint64_t epoch);

    // Takes in a host's record and the servers there that have left. These drain in the directory,
    // whatever a later process of the node reports. Returns true where the directory changed.
    bool report(const host_record &reported,
                const std::vector<departure> &left,
                core::monotonic_time now);
    bool expire(core::monotonic_time now);

    std::uint64_t epoch() const;
    // The number of the last change.
    std::uint64_t number() const;

    // Returns the changes after `number` of `epoch`; the whole directory for another epoch.
    directory_changes since(std::uint64_t epoch, std::uint64_t number) const;

    std::vector<host_record> hosts() const;

    // Returns the servers of a host that have left, or of all hosts.
    std::vector<departure> departed(const core::host_name &host, core::monotonic_time now) const;
    departed_servers departed(core::monotonic_time now) const;

    // Takes in departures that another source heard of. Returns true where the directory changed.
    bool addDeparted(const departed_servers &left, core::monotonic_time now);

private:
    struct listed_host {
        host_record record;
        core::monotonic_time heardAt;
        std::uint64_t changedAt = 0;
        bool isRemoved = false;
    };

    bool take(const host_record &reported, core::monotonic_time now);
    // Lets the listed servers of the host drain that have left. Returns true where any began to.
    bool drainDeparted(const core::host_name &host);

    directory_settings m_settings;
    std::uint64_t m_epoch;
    std::uint64_t m_number = 0;
    std::map<core::host_name, listed_host> m_hosts;
    std::map<core::host_name, departures> m_departed;
};

} // namespace jackdawweir::fleet
