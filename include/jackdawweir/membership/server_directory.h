// The backend servers that a node's request routing selects from.
//
//     server_directory directory(settings);
//     run(directory.tick(now));
//     run(directory.handle(peer, received, now));
//     for (const backend_server &server : directory.eligible(service, now)) { ... }

#pragma once

#include <set>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/membership/effects.h"
#include "jackdawweir/membership/settings.h"
#include "jackdawweir/membership/view.h"

namespace jackdawweir::membership {

class server_directory
{
public:
    explicit server_directory(membership_settings settings);

    effects handle(const core::endpoint &peer, const message &received, core::monotonic_time now);

    // Also emits directory_changed when a data centre or a host becomes unreachable or reachable
    // again.
    effects tick(core::monotonic_time now);

    // Sets the services of the active configuration; node_agent::setServices needs the same list.
    void setServices(const std::vector<core::service_name> &services);

    // Replaces the backend servers of the own host, which are known without a relay.
    effects setLocal(std::vector<backend_server> servers);

    // Returns the ready servers of a service, sorted by address, without those of data centres and
    // hosts whose state was not confirmed for dataCentreTimeout.
    std::vector<backend_server> eligible(const core::service_name &service,
                                         core::monotonic_time now) const;

    // Returns the servers of all services in any state, with the same exclusions as eligible.
    std::vector<backend_server> all(core::monotonic_time now) const;

private:
    void updateReachability(core::monotonic_time now, effects &wanted);
    bool isDataCentreReachable(const core::data_centre_name &dataCentre,
                               core::monotonic_time now) const;
    bool isHostUnreachable(const core::data_centre_name &dataCentre,
                           const core::host_name &host,
                           core::monotonic_time now) const;

    membership_settings m_settings;
    view_follower m_follower;
    std::vector<backend_server> m_local;
    // The reachability as of the last directory_changed.
    std::set<core::data_centre_name> m_reachableDataCentres;
    std::set<core::host_name> m_unreachableHosts;
};

} // namespace jackdawweir::membership
