// The backend servers of one host, as they announce themselves to its node over HTTP.
//
//     announcement_table table;
//     core::status taken = table.announce(server, now);   // PUT /v1/announce
//     table.withdraw(address, incarnation, now);          // DELETE /v1/announce
//     if (table.tick(now)) { ... }                        // a lease expired

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/membership/messages.h"

namespace jackdawweir::membership {

class announcement_table
{
public:
    // Takes an announcement and renews its lease. Errors: Conflict where the announcement belongs
    // to an older start or to one that withdrew, or takes back a drain; it then changes nothing.
    core::status announce(const backend_server &announced, core::monotonic_time now);

    // Removes a server for good until its next start. A withdrawal of an older start is ignored.
    void
    withdraw(const core::endpoint &address, std::uint64_t incarnation, core::monotonic_time now);

    // Removes servers whose lease ended. Returns true if any did.
    bool tick(core::monotonic_time now);

    std::vector<backend_server> servers() const;
    std::vector<departed_server> departed() const;

private:
    struct entry {
        backend_server server;
        core::monotonic_time leaseUntil;
    };

    // The latest start of an address that does not come back.
    struct departure {
        std::uint64_t incarnation = 0;
        core::monotonic_time forgottenAt;
    };

    void depart(const core::endpoint &address, std::uint64_t incarnation, core::monotonic_time now);

    std::map<core::endpoint, entry> m_entries;
    std::map<core::endpoint, departure> m_departed;
};

} // namespace jackdawweir::membership
