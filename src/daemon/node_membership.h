// Runs membership on a node: the announcements of its host's backend servers, the directory of
// servers for routing and, on a relay, the relay's directory.

#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "daemon/process_context.h"
#include "jackdawweir/document/configuration.h"
#include "jackdawweir/membership/node_agent.h"
#include "jackdawweir/membership/relay_directory.h"
#include "jackdawweir/membership/server_directory.h"

namespace jackdawweir::daemon {

// Used only on the node's loop.
class node_membership
{
public:
    // `changed` is called whenever the servers that are eligible for requests change.
    node_membership(process_context &context,
                    const membership::membership_settings &settings,
                    bool isRelay,
                    mesh_send send,
                    std::function<void()> changed);

    void handle(const core::endpoint &peer,
                const membership::message &received,
                core::monotonic_time now);
    void tick(core::monotonic_time now);

    // Sets the services of the active configuration.
    void setServices(const std::vector<document::service> &services, core::monotonic_time now);

    // Errors: those of node_agent::announce.
    core::status announce(const membership::backend_server &announced, core::monotonic_time now);
    void
    withdraw(const core::endpoint &address, std::uint64_t incarnation, core::monotonic_time now);
    void leave(core::monotonic_time now);

    // Returns the servers that are eligible for requests to these services.
    std::vector<membership::backend_server> eligible(const std::vector<document::service> &services,
                                                     core::monotonic_time now) const;

private:
    void perform(const membership::effects &wanted);
    void updateLocalServers();

    process_context &m_context;
    mesh_send m_send;
    std::function<void()> m_changed;
    membership::node_agent m_agent;
    membership::server_directory m_directory;
    std::optional<membership::relay_directory> m_relay;
    std::vector<membership::backend_server> m_localServers;
};

} // namespace jackdawweir::daemon
