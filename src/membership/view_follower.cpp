#include <algorithm>
#include <utility>

#include "jackdawweir/membership/view.h"

namespace jackdawweir::membership {

view_follower::view_follower(std::vector<core::endpoint> relays,
                             core::host_name host,
                             std::uint64_t session)
    : m_relays(std::move(relays))
    , m_host(std::move(host))
    , m_session(session)
{
}

effects view_follower::tick(core::monotonic_time now)
{
    if (!m_started) {
        m_started = true;
        m_answeredAt = now;
        m_nextPoll = now;
    }
    if (now - m_answeredAt >= viewTimeout) {
        m_currentRelay = (m_currentRelay + 1) % m_relays.size();
        m_answeredAt = now;
        m_nextPoll = now;
        for (auto &[dataCentre, copy] : m_copies) {
            copy.relayIncarnation = 0;
            copy.requestedAt.reset();
        }
    }
    effects wanted;
    if (now >= m_nextPoll) {
        m_nextPoll = now + heartbeatInterval;
        wanted.emplace_back(send_message{currentRelay(), view_poll{m_host, m_session}});
    }
    for (auto &[dataCentre, copy] : m_copies) {
        if (copy.requestedAt.has_value() && now - *copy.requestedAt >= retryInterval) {
            requestSnapshot(dataCentre, copy, now, wanted);
        }
    }
    return wanted;
}

effects
view_follower::handle(const core::endpoint &peer, const message &received, core::monotonic_time now)
{
    if (peer != currentRelay()) {
        return {};
    }
    return std::visit(
        [&](const auto &body) -> effects {
            if constexpr (requires { this->handleMessage(body, now); }) {
                if (body.session == m_session) {
                    return this->handleMessage(body, now);
                }
            }
            return {};
        },
        received);
}

const server_table *view_follower::tableOf(const core::data_centre_name &dataCentre) const
{
    const auto copy = m_copies.find(dataCentre);
    return copy == m_copies.end() ? nullptr : &copy->second.table;
}

std::vector<core::data_centre_name> view_follower::dataCentres() const
{
    std::vector<core::data_centre_name> names;
    for (const auto &[dataCentre, copy] : m_copies) {
        names.push_back(dataCentre);
    }
    return names;
}

std::optional<core::monotonic_time>
view_follower::lastConfirmedAt(const core::data_centre_name &dataCentre) const
{
    const auto copy = m_copies.find(dataCentre);
    return copy == m_copies.end() ? std::nullopt : copy->second.lastConfirmedAt;
}

const std::map<core::host_name, core::monotonic_time> &
view_follower::suspectsOf(const core::data_centre_name &dataCentre) const
{
    static const std::map<core::host_name, core::monotonic_time> none;
    const auto copy = m_copies.find(dataCentre);
    return copy == m_copies.end() ? none : copy->second.suspects;
}

void view_follower::setServices(std::optional<std::set<core::service_name>> services)
{
    m_services = std::move(services);
}

std::map<core::data_centre_name, std::set<core::endpoint>> view_follower::takeChanged()
{
    return std::exchange(m_changed, {});
}

effects view_follower::handleMessage(const view_summary &received, core::monotonic_time now)
{
    m_answeredAt = now;
    effects wanted;
    for (const view_digest &state : received.dataCentres) {
        compareDigest(received, state, now, wanted);
    }
    return wanted;
}

void view_follower::compareDigest(const view_summary &received,
                                  const view_digest &state,
                                  core::monotonic_time now,
                                  effects &wanted)
{
    copy_record &copy = m_copies[state.dataCentre];
    if (received.relayIncarnation < copy.relayIncarnation) {
        return;
    }
    const std::set<core::service_name> *services = m_services.has_value() ? &*m_services : nullptr;
    const core::monotonic_time statedAt = now - state.age;
    if (received.relayIncarnation == copy.relayIncarnation
        && copy.table.digestOf(services) == state.digest) {
        copy.requestedAt.reset();
        // A summary with older data, from another relay, must not clear the suspects of a newer
        // one.
        if (statedAt >= copy.lastConfirmedAt.value_or(statedAt)) {
            copy.lastConfirmedAt = statedAt;
            copy.suspects.clear();
        }
        addSuspects(copy, state, now);
        return;
    }
    // The relay may have removed the servers of a suspect that this copy still contains, so no
    // suspect is dropped before the snapshot arrives.
    addSuspects(copy, state, now);
    copy.requestedVersion = received.viewVersion;
    copy.requestedIncarnation = received.relayIncarnation;
    copy.requestedConfirmationTime = statedAt;
    if (!copy.requestedAt.has_value()) {
        requestSnapshot(state.dataCentre, copy, now, wanted);
    }
}

void view_follower::addSuspects(copy_record &copy,
                                const view_digest &state,
                                core::monotonic_time now)
{
    for (const auto &[host, timeSinceHeartbeat] : state.suspects) {
        copy.suspects.try_emplace(host, now - timeSinceHeartbeat);
    }
}

effects view_follower::handleMessage(const view_snapshot &received, core::monotonic_time)
{
    const auto found = m_copies.find(received.dataCentre);
    if (found == m_copies.end()) {
        return {};
    }
    copy_record &copy = found->second;
    const bool isWanted = copy.requestedAt.has_value()
        && received.relayIncarnation == copy.requestedIncarnation
        && received.viewVersion >= copy.requestedVersion;
    if (!isWanted) {
        return {};
    }
    applySnapshot(copy, received);
    copy.requestedAt.reset();
    // The copy now has the content of this relay, so a later lastConfirmedAt from another relay no
    // longer applies.
    copy.lastConfirmedAt = copy.requestedConfirmationTime;
    return {directory_changed{}};
}

effects view_follower::handleMessage(const view_changes &received, core::monotonic_time)
{
    const auto found = m_copies.find(received.dataCentre);
    if (found == m_copies.end() || found->second.relayIncarnation != received.relayIncarnation) {
        return {};
    }
    copy_record &copy = found->second;
    std::set<core::endpoint> &changed = m_changed[received.dataCentre];
    for (const departed_server &departed : received.departed) {
        if (copy.table.markDeparted(departed)) {
            changed.insert(departed.address);
        }
    }
    for (const core::endpoint &address : received.removed) {
        if (advanceEntryVersion(copy, address, received.viewVersion)
            && copy.table.remove(address)) {
            changed.insert(address);
        }
    }
    for (const backend_server &server : received.servers) {
        if (advanceEntryVersion(copy, server.address, received.viewVersion)
            && copy.table.put(server)) {
            changed.insert(server.address);
        }
    }
    return {directory_changed{}};
}

void view_follower::requestSnapshot(const core::data_centre_name &dataCentre,
                                    copy_record &copy,
                                    core::monotonic_time now,
                                    effects &wanted)
{
    copy.requestedAt = now;
    wanted.emplace_back(send_message{currentRelay(), view_request{m_host, m_session, dataCentre}});
}

void view_follower::applySnapshot(copy_record &copy, const view_snapshot &received)
{
    std::set<core::endpoint> &changed = m_changed[received.dataCentre];
    if (received.relayIncarnation != copy.relayIncarnation) {
        copy.relayIncarnation = received.relayIncarnation;
        copy.entryVersions.clear();
    }
    copy.snapshotVersion = received.viewVersion;
    std::erase_if(copy.entryVersions,
                  [&](const auto &each) { return each.second <= received.viewVersion; });

    std::set<core::endpoint> absent;
    for (const auto &[address, server] : copy.table.servers()) {
        absent.insert(address);
    }
    for (const departed_server &departed : received.departed) {
        copy.table.markDeparted(departed);
    }
    for (const backend_server &server : received.servers) {
        absent.erase(server.address);
        if (copy.entryVersions.count(server.address) == 0 && copy.table.put(server)) {
            changed.insert(server.address);
        }
    }
    for (const core::endpoint &address : absent) {
        if (copy.entryVersions.count(address) == 0) {
            copy.table.remove(address);
            changed.insert(address);
        }
    }
}

bool view_follower::advanceEntryVersion(copy_record &copy,
                                        const core::endpoint &address,
                                        std::uint64_t version)
{
    if (version <= copy.snapshotVersion) {
        return false;
    }
    std::uint64_t &latest = copy.entryVersions[address];
    if (version <= latest) {
        return false;
    }
    latest = version;
    return true;
}

const core::endpoint &view_follower::currentRelay() const
{
    return m_relays[m_currentRelay];
}

} // namespace jackdawweir::membership
