// A numbered table of host records, from which a recipient that holds an earlier state gets only
// what has changed since.
//
//     host_table table(epoch);
//     table.set(record);
//     const directory_changes changes = table.since(epochAtRecipient, numberAtRecipient);

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "jackdawweir/core/names.h"
#include "jackdawweir/fleet/records.h"

namespace jackdawweir::fleet {

struct directory_changes {
    bool isWhole = false;
    std::vector<host_record> changed;
    std::vector<core::host_name> removed;

    bool isEmpty() const
    {
        return !isWhole && changed.empty() && removed.empty();
    }
};

class host_table
{
public:
    // The epoch distinguishes the tables of two processes and is not zero.
    explicit host_table(std::uint64_t epoch);

    // Stores the record of a host. Returns true if recipients must get it: a new sequence number
    // and the elapse of the cold time alone need not be sent.
    bool set(const host_record &record);
    // Removes a host from the list. Returns false if it is not listed.
    bool remove(const core::host_name &host);
    // Lists exactly these hosts. Returns true if recipients must get a change.
    bool assign(const std::vector<host_record> &records);

    // Returns the record of a listed host, or nullptr.
    const host_record *find(const core::host_name &host) const;
    // Returns the last record of a host, listed or not, or nullptr.
    const host_record *findLast(const core::host_name &host) const;
    std::vector<host_record> hosts() const;

    std::uint64_t epoch() const;
    // The number of the last change.
    std::uint64_t number() const;
    // Returns the changes after `number` of `epoch`, or the whole table if `epoch` is another one.
    directory_changes since(std::uint64_t epoch, std::uint64_t number) const;

private:
    struct numbered_record {
        host_record record;
        std::uint64_t changedAt = 0;
        bool isListed = true;
    };

    std::uint64_t m_epoch;
    std::uint64_t m_number = 0;
    std::map<core::host_name, numbered_record> m_hosts;
};

} // namespace jackdawweir::fleet
