#include "daemon/node_membership.h"

#include <utility>
#include <variant>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

node_membership::node_membership(process_context &context,
                                 const membership::membership_settings &settings,
                                 bool isRelay,
                                 mesh_send send,
                                 std::function<void()> changed)
    : m_context(context)
    , m_send(std::move(send))
    , m_changed(std::move(changed))
    , m_agent(settings)
    , m_directory(settings)
{
    if (isRelay) {
        m_relay.emplace(settings);
    }
}

void node_membership::handle(const core::endpoint &peer,
                             const membership::message &received,
                             core::monotonic_time now)
{
    // Each state machine ignores messages that are addressed to another one.
    if (m_relay) {
        perform(m_relay->handle(peer, received, now));
    }
    perform(m_agent.handle(peer, received, now));
    perform(m_directory.handle(peer, received, now));
}

void node_membership::tick(core::monotonic_time now)
{
    if (m_relay) {
        perform(m_relay->tick(now));
    }
    perform(m_agent.tick(now));
    updateLocalServers();
    perform(m_directory.tick(now));
}

void node_membership::setServices(const std::vector<document::service> &services,
                                  core::monotonic_time now)
{
    std::vector<core::service_name> names;
    names.reserve(services.size());
    for (const document::service &each : services) {
        names.push_back(each.name);
    }
    m_directory.setServices(names);
    perform(m_agent.setServices(std::move(names), now));
}

core::status node_membership::announce(const membership::backend_server &announced,
                                       core::monotonic_time now)
{
    core::status outcome = core::okStatus();
    perform(m_agent.announce(announced, now, &outcome));
    updateLocalServers();
    return outcome;
}

void node_membership::withdraw(const core::endpoint &address,
                               std::uint64_t incarnation,
                               core::monotonic_time now)
{
    perform(m_agent.withdraw(address, incarnation, now));
    updateLocalServers();
}

void node_membership::leave(core::monotonic_time now)
{
    perform(m_agent.leave(now));
}

std::vector<membership::backend_server>
node_membership::eligible(const std::vector<document::service> &services,
                          core::monotonic_time now) const
{
    std::vector<membership::backend_server> servers;
    for (const document::service &each : services) {
        const std::vector<membership::backend_server> found = m_directory.eligible(each.name, now);
        servers.insert(servers.end(), found.begin(), found.end());
    }
    return servers;
}

void node_membership::updateLocalServers()
{
    std::vector<membership::backend_server> localServers = m_agent.table().servers();
    if (localServers == m_localServers) {
        return;
    }
    m_localServers = std::move(localServers);
    perform(m_directory.setLocal(m_localServers));
}

void node_membership::perform(const membership::effects &wanted)
{
    for (const membership::effect &each : wanted) {
        if (const auto *sent = std::get_if<membership::send_message>(&each)) {
            m_send(sent->peer, wire::channel::Membership, wire::encode(sent->body));
        } else if (const auto *logged = std::get_if<membership::log_event>(&each)) {
            m_context.record(m_context.event("membership")
                                 .step(logged->step)
                                 .peer(logged->peer.value)
                                 .field("subject", logged->subject)
                                 .build());
        } else {
            m_changed();
        }
    }
}

} // namespace jackdawweir::daemon
