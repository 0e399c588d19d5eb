#include "jackdawweir/membership/relay_directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawweir::membership {

namespace {

bool dependsOn(const std::set<core::service_name> *services, const core::service_name &service)
{
    return services == nullptr || services->count(service) != 0;
}

std::chrono::milliseconds ageOf(core::monotonic_time time, core::monotonic_time now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(now - time);
}

void appendEffects(effects &wanted, effects more)
{
    std::move(more.begin(), more.end(), std::back_inserter(wanted));
}

} // namespace

relay_directory::relay_directory(membership_settings settings)
    : m_settings(std::move(settings))
{
    for (const auto &[dataCentre, relays] : m_settings.remoteRelays) {
        m_remoteViews.try_emplace(dataCentre, relays, core::host_name{}, m_settings.incarnation);
    }
}

effects relay_directory::handle(const core::endpoint &peer,
                                const message &received,
                                core::monotonic_time now)
{
    return std::visit(
        [&](const auto &body) -> effects {
            if constexpr (requires { this->handleMessage(peer, body, now); }) {
                return this->handleMessage(peer, body, now);
            } else {
                return handleRemoteView(peer, received, now);
            }
        },
        received);
}

effects relay_directory::tick(core::monotonic_time now)
{
    m_startedAt = m_startedAt.value_or(now);
    std::erase_if(m_followers,
                  [now](const auto &each) { return now - each.second.polledAt > leaseDuration; });
    effects wanted;
    std::set<core::endpoint> changed;
    for (auto &[host, record] : m_nodes) {
        if (record.isLive && now >= record.leaseUntil) {
            wanted.emplace_back(
                log_event{"node-lease-expired", m_settings.ownEndpoint, host.value});
            updateLiveness(record, false, changed);
        }
    }
    appendEffects(wanted, pushChanges(m_settings.dataCentre, changed));
    for (auto &[dataCentre, follower] : m_remoteViews) {
        appendEffects(wanted, follower.tick(now));
    }
    if (isReady(now) && !std::exchange(m_wasReady, true)) {
        for (const auto &[peer, follower] : m_followers) {
            sendSummary(peer, follower, now, wanted);
        }
    }
    return wanted;
}

const server_table &relay_directory::ownServers() const
{
    return m_ownServers;
}

bool relay_directory::isReady(core::monotonic_time now) const
{
    return m_startedAt.has_value() && now - *m_startedAt >= viewDelayAfterStart;
}

effects relay_directory::handleMessage(const core::endpoint &peer,
                                       const node_update &received,
                                       core::monotonic_time now)
{
    node_record &record = m_nodes[received.host];
    const std::pair current(record.incarnation, record.sequence);
    const std::pair reported(received.nodeIncarnation, received.sequence);
    std::set<core::endpoint> changed;
    if (reported > current && received.nodeIncarnation > record.leftIncarnation) {
        if (received.nodeIncarnation > record.incarnation) {
            record.heartbeatNumber = 0;
        }
        record.incarnation = received.nodeIncarnation;
        record.sequence = received.sequence;
        record.leaseUntil = now + leaseDuration;
        replaceServers(record, received, changed);
    }
    effects wanted{send_message{peer, node_acknowledgement{record.incarnation, record.sequence}}};
    appendEffects(wanted, pushChanges(m_settings.dataCentre, changed));
    return wanted;
}

effects relay_directory::handleMessage(const core::endpoint &peer,
                                       const node_heartbeat &received,
                                       core::monotonic_time now)
{
    node_record &record = m_nodes[received.host];
    if (received.nodeIncarnation < record.incarnation
        || received.nodeIncarnation <= record.leftIncarnation) {
        return {};
    }
    std::set<core::endpoint> changed;
    if (received.isLeaving) {
        record.leftIncarnation = received.nodeIncarnation;
        updateLiveness(record, false, changed);
        return pushChanges(m_settings.dataCentre, changed);
    }
    const bool isCurrent = received.nodeIncarnation == record.incarnation;
    if (isCurrent && received.sequence == record.sequence
        && received.heartbeatNumber > record.heartbeatNumber) {
        record.heartbeatNumber = received.heartbeatNumber;
        record.leaseUntil = now + leaseDuration;
        updateLiveness(record, true, changed);
    }
    effects wanted{
        send_message{peer,
                     node_acknowledgement{received.nodeIncarnation,
                                          isCurrent ? record.sequence : std::uint64_t{0}}}};
    appendEffects(wanted, pushChanges(m_settings.dataCentre, changed));
    return wanted;
}

effects relay_directory::handleMessage(const core::endpoint &peer,
                                       const view_poll &received,
                                       core::monotonic_time now)
{
    const follower_record follower{received.host, received.session, now};
    m_followers[peer] = follower;
    effects wanted;
    if (isReady(now)) {
        sendSummary(peer, follower, now, wanted);
    }
    return wanted;
}

void relay_directory::sendSummary(const core::endpoint &peer,
                                  const follower_record &follower,
                                  core::monotonic_time now,
                                  effects &wanted) const
{
    const bool isNode = !follower.host.empty();
    if (isNode && m_nodes.count(follower.host) == 0) {
        return;
    }
    const std::set<core::service_name> *services = servicesOf(follower.host);
    view_summary summary{follower.session, m_settings.incarnation, m_viewVersion, {}};
    summary.dataCentres.push_back(ownDigest(services, now));
    for (const auto &[dataCentre, copied] : m_remoteViews) {
        const std::optional<core::monotonic_time> lastConfirmedAt
            = copied.lastConfirmedAt(dataCentre);
        if (isNode && lastConfirmedAt.has_value()) {
            view_digest state{dataCentre,
                              copied.tableOf(dataCentre)->digestOf(services),
                              ageOf(*lastConfirmedAt, now),
                              {}};
            for (const auto &[host, lastHeartbeat] : copied.suspectsOf(dataCentre)) {
                state.suspects[host] = ageOf(lastHeartbeat, now);
            }
            summary.dataCentres.push_back(std::move(state));
        }
    }
    wanted.emplace_back(send_message{peer, std::move(summary)});
}

view_digest relay_directory::ownDigest(const std::set<core::service_name> *services,
                                       core::monotonic_time now) const
{
    view_digest state{m_settings.dataCentre, m_ownServers.digestOf(services), {}, {}};
    for (const auto &[host, record] : m_nodes) {
        if (!record.isLive) {
            continue;
        }
        const std::chrono::milliseconds timeSinceHeartbeat
            = ageOf(record.leaseUntil - leaseDuration, now);
        if (timeSinceHeartbeat > suspectTimeout) {
            state.suspects[host] = timeSinceHeartbeat;
        } else {
            state.age = std::max(state.age, timeSinceHeartbeat);
        }
    }
    return state;
}

effects relay_directory::handleMessage(const core::endpoint &peer,
                                       const view_request &received,
                                       core::monotonic_time now)
{
    const server_table *table = tableOf(received.dataCentre);
    if (!isReady(now) || table == nullptr) {
        return {};
    }
    const std::set<core::service_name> *services = servicesOf(received.host);
    view_snapshot snapshot{received.session,
                           m_settings.incarnation,
                           m_viewVersion,
                           received.dataCentre,
                           {},
                           table->departed()};
    for (const auto &[address, server] : table->servers()) {
        if (dependsOn(services, server.service)) {
            snapshot.servers.push_back(server);
        }
    }
    return {send_message{peer, std::move(snapshot)}};
}

effects relay_directory::handleRemoteView(const core::endpoint &peer,
                                          const message &received,
                                          core::monotonic_time now)
{
    effects wanted;
    for (auto &[dataCentre, follower] : m_remoteViews) {
        for (effect &each : follower.handle(peer, received, now)) {
            if (!std::holds_alternative<directory_changed>(each)) {
                wanted.push_back(std::move(each));
            }
        }
        for (const auto &[followed, changed] : follower.takeChanged()) {
            appendEffects(wanted, pushChanges(followed, changed));
        }
    }
    return wanted;
}

void relay_directory::updateLiveness(node_record &record,
                                     bool isLive,
                                     std::set<core::endpoint> &changed)
{
    if (record.isLive == isLive) {
        return;
    }
    record.isLive = isLive;
    for (const backend_server &server : record.servers) {
        if (isLive ? m_ownServers.put(server) : m_ownServers.remove(server.address)) {
            changed.insert(server.address);
        }
    }
}

void relay_directory::replaceServers(node_record &record,
                                     const node_update &received,
                                     std::set<core::endpoint> &changed)
{
    record.services = {received.services.begin(), received.services.end()};
    for (const departed_server &departed : received.departed) {
        if (m_ownServers.markDeparted(departed)) {
            changed.insert(departed.address);
        }
    }
    for (const backend_server &server : record.servers) {
        const bool isKept = std::any_of(
            received.servers.begin(), received.servers.end(), [&](const backend_server &kept) {
                return kept.address == server.address;
            });
        if (!isKept && m_ownServers.remove(server.address)) {
            changed.insert(server.address);
        }
    }
    record.servers = received.servers;
    record.isLive = true;
    for (const backend_server &server : record.servers) {
        if (m_ownServers.put(server)) {
            changed.insert(server.address);
        }
    }
}

effects relay_directory::pushChanges(const core::data_centre_name &dataCentre,
                                     const std::set<core::endpoint> &changed)
{
    if (changed.empty()) {
        return {};
    }
    ++m_viewVersion;
    const server_table &table = *tableOf(dataCentre);
    for (const core::endpoint &address : changed) {
        const auto present = table.servers().find(address);
        if (present != table.servers().end()) {
            m_serviceOf[address] = present->second.service;
        }
    }
    effects wanted;
    for (const auto &[peer, follower] : m_followers) {
        // Relays of other data centres copy only the servers of this relay's own data centre.
        if (follower.host.empty() && dataCentre != m_settings.dataCentre) {
            continue;
        }
        view_changes changes = changesFor(follower, table, changed);
        if (changes.servers.empty() && changes.removed.empty()) {
            continue;
        }
        changes.dataCentre = dataCentre;
        wanted.emplace_back(send_message{peer, std::move(changes)});
    }
    return wanted;
}

view_changes relay_directory::changesFor(const follower_record &follower,
                                         const server_table &table,
                                         const std::set<core::endpoint> &changed) const
{
    const std::set<core::service_name> *services = servicesOf(follower.host);
    view_changes changes;
    changes.session = follower.session;
    changes.relayIncarnation = m_settings.incarnation;
    changes.viewVersion = m_viewVersion;
    for (const core::endpoint &address : changed) {
        const auto service = m_serviceOf.find(address);
        if (service == m_serviceOf.end() || !dependsOn(services, service->second)) {
            continue;
        }
        const auto present = table.servers().find(address);
        if (present != table.servers().end()) {
            changes.servers.push_back(present->second);
            continue;
        }
        changes.removed.push_back(address);
        if (const auto departed = table.departedIncarnation(address)) {
            changes.departed.push_back(departed_server{address, *departed});
        }
    }
    return changes;
}

const server_table *relay_directory::tableOf(const core::data_centre_name &dataCentre) const
{
    if (dataCentre == m_settings.dataCentre) {
        return &m_ownServers;
    }
    const auto remote = m_remoteViews.find(dataCentre);
    return remote == m_remoteViews.end() ? nullptr : remote->second.tableOf(dataCentre);
}

const std::set<core::service_name> *relay_directory::servicesOf(const core::host_name &host) const
{
    const auto node = m_nodes.find(host);
    return host.empty() || node == m_nodes.end() ? nullptr : &node->second.services;
}

} // namespace jackdawweir::membership
