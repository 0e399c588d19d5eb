#include "jackdawweir/membership/node_agent.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::membership {

namespace {

// After this many unacknowledged updates the node sends the next one only when the relay replies to
// a heartbeat.
constexpr unsigned maxUpdateAttempts = 5;

} // namespace

node_agent::node_agent(membership_settings settings)
    : m_settings(std::move(settings))
{
    for (const core::endpoint &relay : m_settings.relays) {
        m_relays[relay] = relay_record{};
    }
}

effects
node_agent::announce(backend_server announced, core::monotonic_time now, core::status *outcome)
{
    announced.host = m_settings.ownHost;
    announced.dataCentre = m_settings.dataCentre;
    const std::vector<backend_server> before = m_table.servers();
    const core::status result = m_table.announce(announced, now);
    if (outcome != nullptr) {
        *outcome = result;
    }
    return m_table.servers() == before ? effects{} : sendUpdateToAll(now);
}

effects node_agent::withdraw(const core::endpoint &address,
                             std::uint64_t incarnation,
                             core::monotonic_time now)
{
    const std::vector<backend_server> before = m_table.servers();
    m_table.withdraw(address, incarnation, now);
    return m_table.servers() == before ? effects{} : sendUpdateToAll(now);
}

effects node_agent::setServices(std::vector<core::service_name> services, core::monotonic_time now)
{
    std::sort(services.begin(), services.end());
    if (services == m_services) {
        return {};
    }
    m_services = std::move(services);
    return sendUpdateToAll(now);
}

effects node_agent::leave(core::monotonic_time now)
{
    m_isLeaving = true;
    for (auto &[relay, record] : m_relays) {
        record.nextHeartbeat = now;
    }
    return tick(now);
}

effects
node_agent::handle(const core::endpoint &peer, const message &received, core::monotonic_time now)
{
    const auto *acknowledged = std::get_if<node_acknowledgement>(&received);
    const auto relay = m_relays.find(peer);
    if (acknowledged == nullptr || relay == m_relays.end()
        || acknowledged->nodeIncarnation != m_settings.incarnation) {
        return {};
    }
    effects wanted;
    relay->second.acknowledged = acknowledged->sequence;
    const bool isRetryDue = now - relay->second.sentAt >= retryInterval;
    if (acknowledged->sequence != m_sequence && isRetryDue && !m_isLeaving) {
        sendUpdate(peer, now, wanted);
    }
    return wanted;
}

effects node_agent::tick(core::monotonic_time now)
{
    effects wanted;
    if (m_table.tick(now)) {
        wanted = sendUpdateToAll(now);
    }
    for (auto &[relay, record] : m_relays) {
        const bool needsUpdate
            = record.acknowledged != m_sequence && record.attempts < maxUpdateAttempts;
        if (needsUpdate && now - record.sentAt >= retryInterval && !m_isLeaving) {
            sendUpdate(relay, now, wanted);
        }
        if (now >= record.nextHeartbeat) {
            record.nextHeartbeat = now + heartbeatInterval;
            wanted.emplace_back(send_message{relay,
                                             node_heartbeat{m_settings.ownHost,
                                                            m_settings.incarnation,
                                                            m_sequence,
                                                            ++m_heartbeatNumber,
                                                            m_isLeaving}});
        }
    }
    return wanted;
}

const announcement_table &node_agent::table() const
{
    return m_table;
}

effects node_agent::sendUpdateToAll(core::monotonic_time now)
{
    ++m_sequence;
    effects wanted;
    for (auto &[relay, record] : m_relays) {
        record.attempts = 0;
        sendUpdate(relay, now, wanted);
    }
    return wanted;
}

void node_agent::sendUpdate(const core::endpoint &relay, core::monotonic_time now, effects &wanted)
{
    relay_record &record = m_relays[relay];
    record.sentAt = now;
    ++record.attempts;
    wanted.emplace_back(send_message{relay,
                                     node_update{m_settings.ownHost,
                                                 m_settings.incarnation,
                                                 m_sequence,
                                                 m_table.servers(),
                                                 m_table.departed(),
                                                 m_services}});
}

} // namespace jackdawweir::membership
