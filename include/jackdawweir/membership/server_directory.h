// The backend servers that a node's request routing chooses from.
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

    // Emits directory_changed also when a data centre or a host becomes excluded by silence, or is
    // heard from again.
    effects tick(core::monotonic_time now);

    // States the services of the active configuration, as node_agent::setServices does.
    void setServices(const std::vector<core::service_name> &services);

    // Takes the backend servers of the own host, which need no relay to be known.
    effects setLocal(std::vector<backend_server> servers);

    // Returns the servers of a service that are ready, sorted by address; entries of data centres
    // not heard from for dataCentreTimeout are left out.
    std::vector<backend_server> eligible(const core::service_name &service,
                                         core::monotonic_time now) const;

    // Returns all servers of the directory with their states, starting and draining ones too.
    std::vector<backend_server> all(core::monotonic_time now) const;

private:
    void noticeSilence(core::monotonic_time now, effects &wanted);
    bool isHeard(const core::data_centre_name &dataCentre, core::monotonic_time now) const;
    bool isSilent(const core::data_centre_name &dataCentre,
                  const core::host_name &host,
                  core::monotonic_time now) const;

    membership_settings m_settings;
    view_follower m_follower;
    std::vector<backend_server> m_local;
    // What the last directory_changed was based on.
    std::set<core::data_centre_name> m_heard;
    std::set<core::host_name> m_silent;
};

} // namespace jackdawweir::membership
