// Drives the circuit breaker and the evidence of a node and, on a relay, those of its data centre.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/lockfree/queue.hpp>

#include "daemon/process_context.h"
#include "jackdawweir/document/configuration.h"
#include "jackdawweir/moves/circuit_breaker.h"
#include "jackdawweir/moves/evidence.h"
#include "jackdawweir/moves/messages.h"
#include "jackdawweir/proxy/request_handler.h"
#include "jackdawweir/request/server_selector.h"

namespace jackdawweir::daemon {

struct moves_routes {
    // The relays of the data centre, the preferred one first.
    std::vector<core::endpoint> relays;
    std::vector<core::endpoint> sources;
    bool isRelay = false;
    // How many nodes there are, which bounds wrong suspicions over all their breakers.
    std::size_t nodeCount = 1;
};

// Lives on the node's loop, but for observe().
class node_moves
{
public:
    // `changed` is called whenever a breaker opened or closed.
    node_moves(process_context &context,
               moves_routes routes,
               mesh_send send,
               std::function<void()> changed);
    ~node_moves();
    node_moves(const node_moves &) = delete;
    node_moves &operator=(const node_moves &) = delete;

    // Takes in a finished attempt; called on request threads. It takes no lock, and drops the
    // attempt where the loop is too far behind.
    void observe(const proxy::attempt_record &finished);

    void setConfiguration(const document::configuration &active, core::monotonic_time now);
    void
    handle(const core::endpoint &peer, const moves::message &received, core::monotonic_time now);

    // Called every moves::evidenceInterval.
    void tick(core::monotonic_time now);

    std::set<request::excluded_version> blockedVersions() const;

    // Sends evidence to this source from now on; relays only.
    void setLeader(const core::endpoint &leader);

private:
    void drainAttempts();
    void tickNode(core::monotonic_time now);
    void tickRelay(core::monotonic_time now);
    void take(const core::endpoint &peer, const moves::evidence_report &received);
    void take(const core::endpoint &peer, const moves::evidence_ack &received);
    void take(const core::endpoint &peer, const moves::breaker_report &received);
    void feedNode(const moves::breaker_input &input);
    void feedRelay(const moves::breaker_input &input);
    void sendReport(const core::endpoint &peer, const moves::message &report);
    void logChange(const moves::breaker_changed &change, const char *scope);

    process_context &m_context;
    moves_routes m_routes;
    mesh_send m_send;
    std::function<void()> m_changed;
    core::monotonic_time m_now;
    boost::lockfree::queue<proxy::attempt_record *> m_attempts;
    // The services with a move, whose evidence is worth its bytes.
    std::map<core::service_name, document::move_state> m_moving;
    moves::evidence_recorder m_recorder;
    moves::circuit_breaker m_breaker;
    moves::evidence_uplink m_uplink;
    std::size_t m_relayIndex = 0;
    std::optional<core::monotonic_time> m_unackedSince;
    // Relays only.
    moves::evidence_collector m_collector;
    moves::circuit_breaker m_relayBreaker;
    moves::evidence_uplink m_relayUplink;
    std::set<core::endpoint> m_reporters;
    core::endpoint m_leader;
    std::size_t m_sourceIndex = 0;
    std::optional<core::monotonic_time> m_relayUnackedSince;
};

} // namespace jackdawweir::daemon
