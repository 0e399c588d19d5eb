// The backend servers of one host, as they announce themselves to its node over HTTP.
//
//     announcement_table table;
//     core::status result = table.announce(server, now);   // PUT /v1/announce
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
    // Records an announcement and renews the server's lease. Returns Conflict and changes nothing
    // if the announcement comes from an older incarnation or from one that withdrew, or if its
    // state precedes the known one, for example Ready after Draining.
    core::status announce(const backend_server &announced, core::monotonic_time now);

    // Removes a server and rejects its announcements until it restarts with a greater incarnation.
    // A withdrawal of an older incarnation is ignored.
    void
    withdraw(const core::endpoint &address, std::uint64_t incarnation, core::monotonic_time now);

    // Removes servers whose lease expired. Returns true if there were any.
    bool tick(core::monotonic_time now);

    std::vector<backend_server> servers() const;
    // Returns the incarnations that are rejected; see departed_server.
    std::vector<departed_server> departed() const;

private:
    struct entry {
        backend_server server;
        core::monotonic_time leaseUntil;
    };

    // The greatest incarnation of an address that is rejected, and when the record is deleted.
    struct departure {
        std::uint64_t incarnation = 0;
        core::monotonic_time expiresAt;
    };

    void markDeparted(const core::endpoint &address,
                      std::uint64_t incarnation,
                      core::monotonic_time now);

    std::map<core::endpoint, entry> m_entries;
    std::map<core::endpoint, departure> m_departed;
};

} // namespace jackdawweir::membership
