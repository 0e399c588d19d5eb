// A node: the proxy of its host, with the components that supply its configuration, its backend
// servers and the state of moves.
//
//     node localNode(context);
//     core::status started = localNode.start();
//     ...
//     const std::size_t cut = localNode.shutDown();

#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "daemon/event_loop.h"
#include "daemon/mesh_bytes.h"
#include "daemon/node_distribution.h"
#include "daemon/node_ledger.h"
#include "daemon/node_membership.h"
#include "daemon/node_moves.h"
#include "daemon/process_context.h"
#include "daemon/source_client.h"
#include "jackdawweir/proxy/http_listener.h"
#include "jackdawweir/proxy/rcu_cell.h"
#include "jackdawweir/proxy/request_handler.h"
#include "jackdawweir/proxy/routing_state.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::daemon {

// The state of a node as shown to operators.
struct node_status {
    core::config_version inForce;
    bool isServing = false;
    bool isRelay = false;
    bool isDraining = false;
    std::string refusal;
    std::size_t serverCount = 0;
};

class node
{
public:
    explicit node(process_context &context);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    // Errors: InvalidArgument for inconsistent settings; Unavailable if an address cannot be bound.
    core::status start();

    // Announces that the host leaves, waits up to the shutdown timeout for requests in flight, and
    // returns how many of them were cut off.
    std::size_t shutDown();

    std::size_t requestsInFlight() const;

    // The functions below are thread-safe; each waits for the loop.
    node_status status();
    core::status announce(const membership::backend_server &announced);
    void withdraw(const core::endpoint &address, std::uint64_t incarnation);
    core::result<source::submission_result> submit(submit_request request);
    core::result<state_reply> requestState();

private:
    core::status createComponents();
    void send(const core::endpoint &peer, wire::channel target, const std::string &payload);
    void dispatch(const transport::received_message &received);
    void handleControl(const core::endpoint &peer, const control_message &received);
    void tick();
    void activate(const std::shared_ptr<const document::configuration> &activated);
    void exportMoveCounts(const std::vector<document::move_state> &moves);
    void refuse(const std::string &reason);
    void rebuildRouting();

    process_context &m_context;
    event_loop m_loop;
    transport::mesh_transport m_transport;
    std::optional<node_distribution> m_distribution;
    std::optional<node_membership> m_membership;
    std::optional<node_moves> m_moves;
    std::optional<source_client> m_sources;
    node_ledger m_ledger;
    proxy::rcu_cell<proxy::routing_state> m_routing;
    std::optional<proxy::request_handler> m_requestHandler;
    std::optional<proxy::http_listener> m_listener;

    // Accessed only on the loop.
    std::shared_ptr<const document::configuration> m_active;
    std::shared_ptr<const request::route_table> m_routes;
    std::shared_ptr<const request::server_selector> m_selector;
    proxy::service_counters_map m_counters;
    node_status m_status;
    exported_bytes m_exportedBytes;
    std::atomic<bool> m_isDraining{false};
};

} // namespace jackdawweir::daemon
