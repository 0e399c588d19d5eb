// Reports one host to the relays of its data centre: its backend servers, the services that its
// routes depend on, and heartbeats.
//
//     node_agent agent(settings);
//     run(agent.announce(server, now));         // from HTTP
//     run(agent.setServices(services, now));    // on each activated configuration
//     run(agent.handle(peer, received, now));
//     run(agent.tick(now));

#pragma once

#include <map>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/membership/announcement_table.h"
#include "jackdawweir/membership/effects.h"
#include "jackdawweir/membership/settings.h"

namespace jackdawweir::membership {

class node_agent
{
public:
    explicit node_agent(membership_settings settings);

    // Records an announcement. `outcome`, which may be nullptr, receives the status for the HTTP
    // response. The agent fills in host and data centre.
    effects
    announce(backend_server announced, core::monotonic_time now, core::status *outcome = nullptr);

    effects
    withdraw(const core::endpoint &address, std::uint64_t incarnation, core::monotonic_time now);

    // Sets the services of the active configuration and reports them to the relays.
    effects setServices(std::vector<core::service_name> services, core::monotonic_time now);

    // Notifies the relays that this node shuts down: its lease ends now and its servers are
    // removed.
    effects leave(core::monotonic_time now);

    // Processes acknowledgements; other messages are ignored.
    effects handle(const core::endpoint &peer, const message &received, core::monotonic_time now);

    effects tick(core::monotonic_time now);

    // The backend servers of this host.
    const announcement_table &table() const;

private:
    effects sendUpdateToAll(core::monotonic_time now);
    void sendUpdate(const core::endpoint &relay, core::monotonic_time now, effects &wanted);

    struct relay_record {
        std::uint64_t acknowledged = 0;
        // Updates sent since the last change.
        unsigned attempts = 0;
        core::monotonic_time sentAt;
        core::monotonic_time nextHeartbeat;
    };

    membership_settings m_settings;
    announcement_table m_table;
    std::vector<core::service_name> m_services;
    std::uint64_t m_sequence = 1;
    std::uint64_t m_heartbeatNumber = 0;
    bool m_isLeaving = false;
    std::map<core::endpoint, relay_record> m_relays;
};

} // namespace jackdawweir::membership
