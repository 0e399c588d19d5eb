#include "jackdawweir/membership/server_directory.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::membership {

server_directory::server_directory(membership_settings settings)
    : m_settings(std::move(settings))
    , m_follower(m_settings.relays, m_settings.ownHost, m_settings.incarnation)
{
    m_follower.setServices(std::set<core::service_name>{});
}

effects server_directory::handle(const core::endpoint &peer,
                                 const message &received,
                                 core::monotonic_time now)
{
    effects wanted = m_follower.handle(peer, received, now);
    updateReachability(now, wanted);
    return wanted;
}

effects server_directory::tick(core::monotonic_time now)
{
    effects wanted = m_follower.tick(now);
    updateReachability(now, wanted);
    return wanted;
}

void server_directory::setServices(const std::vector<core::service_name> &services)
{
    m_follower.setServices(std::set<core::service_name>(services.begin(), services.end()));
}

effects server_directory::setLocal(std::vector<backend_server> servers)
{
    if (servers == m_local) {
        return {};
    }
    m_local = std::move(servers);
    return {directory_changed{}};
}

std::vector<backend_server> server_directory::eligible(const core::service_name &service,
                                                       core::monotonic_time now) const
{
    std::vector<backend_server> chosen = all(now);
    std::erase_if(chosen, [&service](const backend_server &server) {
        return server.service != service || server.state != server_state::Ready;
    });
    return chosen;
}

std::vector<backend_server> server_directory::all(core::monotonic_time now) const
{
    std::vector<backend_server> listed = m_local;
    for (const core::data_centre_name &dataCentre : m_follower.dataCentres()) {
        if (!isDataCentreReachable(dataCentre, now)) {
            continue;
        }
        for (const auto &[address, server] : m_follower.tableOf(dataCentre)->servers()) {
            // The own host's servers come from setLocal.
            if (server.host != m_settings.ownHost
                && !isHostUnreachable(dataCentre, server.host, now)) {
                listed.push_back(server);
            }
        }
    }
    std::sort(listed.begin(), listed.end(), [](const auto &left, const auto &right) {
        return left.address < right.address;
    });
    return listed;
}

bool server_directory::isDataCentreReachable(const core::data_centre_name &dataCentre,
                                             core::monotonic_time now) const
{
    const std::optional<core::monotonic_time> lastConfirmedAt
        = m_follower.lastConfirmedAt(dataCentre);
    return lastConfirmedAt.has_value() && now - *lastConfirmedAt < dataCentreTimeout;
}

bool server_directory::isHostUnreachable(const core::data_centre_name &dataCentre,
                                         const core::host_name &host,
                                         core::monotonic_time now) const
{
    const auto &suspects = m_follower.suspectsOf(dataCentre);
    const auto suspect = suspects.find(host);
    return suspect != suspects.end() && now - suspect->second >= dataCentreTimeout;
}

void server_directory::updateReachability(core::monotonic_time now, effects &wanted)
{
    m_follower.takeChanged();
    std::set<core::data_centre_name> reachableDataCentres;
    std::set<core::host_name> unreachableHosts;
    for (const core::data_centre_name &dataCentre : m_follower.dataCentres()) {
        if (isDataCentreReachable(dataCentre, now)) {
            reachableDataCentres.insert(dataCentre);
        }
        for (const auto &[host, lastHeartbeat] : m_follower.suspectsOf(dataCentre)) {
            if (isHostUnreachable(dataCentre, host, now)) {
                unreachableHosts.insert(host);
            }
        }
    }
    if (reachableDataCentres != m_reachableDataCentres || unreachableHosts != m_unreachableHosts) {
        m_reachableDataCentres = std::move(reachableDataCentres);
        m_unreachableHosts = std::move(unreachableHosts);
        wanted.emplace_back(directory_changed{});
    }
}

} // namespace jackdawweir::membership
