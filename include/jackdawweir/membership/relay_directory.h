// The membership state of a relay: the leases of the nodes of its data centre, their backend
// servers, and copies of the views of other data centres. Nodes receive the parts that their routes
// depend on.
//
//     relay_directory directory(settings);
//     run(directory.handle(peer, received, now));
//     run(directory.tick(now));

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/membership/effects.h"
#include "jackdawweir/membership/settings.h"
#include "jackdawweir/membership/view.h"

namespace jackdawweir::membership {

class relay_directory
{
public:
    explicit relay_directory(membership_settings settings);

    effects handle(const core::endpoint &peer, const message &received, core::monotonic_time now);

    effects tick(core::monotonic_time now);

    // The backend servers of the own data centre whose host holds a valid lease.
    const server_table &ownServers() const;

    // Returns true once viewDelayAfterStart has passed. Before that, a node's servers may be
    // missing only because the node had no time to report them, so the relay sends no views.
    bool isReady(core::monotonic_time now) const;

private:
    struct node_record {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t heartbeatNumber = 0;
        // The greatest incarnation of the node that shut down.
        std::uint64_t leftIncarnation = 0;
        bool isLive = false;
        core::monotonic_time leaseUntil;
        std::vector<backend_server> servers;
        std::set<core::service_name> services;
    };

    struct follower_record {
        core::host_name host;
        std::uint64_t session = 0;
        core::monotonic_time polledAt;
    };

    effects handleMessage(const core::endpoint &peer,
                          const node_update &received,
                          core::monotonic_time now);
    effects handleMessage(const core::endpoint &peer,
                          const node_heartbeat &received,
                          core::monotonic_time now);
    effects
    handleMessage(const core::endpoint &peer, const view_poll &received, core::monotonic_time now);
    effects handleMessage(const core::endpoint &peer,
                          const view_request &received,
                          core::monotonic_time now);
    void sendSummary(const core::endpoint &peer,
                     const follower_record &follower,
                     core::monotonic_time now,
                     effects &wanted) const;
    view_digest ownDigest(const std::set<core::service_name> *services,
                          core::monotonic_time now) const;
    effects
    handleRemoteView(const core::endpoint &peer, const message &received, core::monotonic_time now);

    void updateLiveness(node_record &record, bool isLive, std::set<core::endpoint> &changed);
    void replaceServers(node_record &record,
                        const node_update &received,
                        std::set<core::endpoint> &changed);
    effects pushChanges(const core::data_centre_name &dataCentre,
                        const std::set<core::endpoint> &changed);
    view_changes changesFor(const follower_record &follower,
                            const server_table &table,
                            const std::set<core::endpoint> &changed) const;
    const server_table *tableOf(const core::data_centre_name &dataCentre) const;
    const std::set<core::service_name> *servicesOf(const core::host_name &host) const;

    membership_settings m_settings;
    std::optional<core::monotonic_time> m_startedAt;
    std::map<core::host_name, node_record> m_nodes;
    server_table m_ownServers;
    // The last service of each address, kept after removal so that the removal is sent to the nodes
    // that depend on that service.
    std::map<core::endpoint, core::service_name> m_serviceOf;
    std::map<core::data_centre_name, view_follower> m_remoteViews;
    std::map<core::endpoint, follower_record> m_followers;
    std::uint64_t m_viewVersion = 0;
    bool m_wasReady = false;
};

} // namespace jackdawweir::membership
