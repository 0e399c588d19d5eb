// Runs the circuit breaker of a node, collects evidence from its requests and reports both to the
// relays. On a relay it also does this for the data centre and reports to the sources.

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

struct moves_topology {
    // The relays of the data centre, the preferred one first.
    std::vector<core::endpoint> relays;
    std::vector<core::endpoint> sources;
    bool isRelay = false;
    // The number of nodes. It sets the threshold of a breaker so that the rate of false positives
    // over all nodes is bounded.
    std::size_t nodeCount = 1;
};

// Used only on the node's loop, except for observe().
class node_moves
{
public:
    // `changed` is called whenever the node's breaker changes its state for a version.
    node_moves(process_context &context,
               moves_topology topology,
               mesh_send send,
               std::function<void()> changed);
    ~node_moves();
    node_moves(const node_moves &) = delete;
    node_moves &operator=(const node_moves &) = delete;

    // Queues a finished attempt for the loop. Called on request threads. Lock-free; drops the
    // attempt if the queue is full.
    void observe(const proxy::attempt_record &finished);

    void setConfiguration(const document::configuration &active, core::monotonic_time now);
    void
    handle(const core::endpoint &peer, const moves::message &received, core::monotonic_time now);

    // Called every moves::evidenceInterval.
    void tick(core::monotonic_time now);

    std::set<request::excluded_version> blockedVersions() const;

    // Sets the source that a relay sends its evidence to.
    void setLeader(const core::endpoint &leader);

private:
    void recordQueuedAttempts();
    void tickNode(core::monotonic_time now);
    void tickRelay(core::monotonic_time now);
    void handleMessage(const core::endpoint &peer, const moves::evidence_report &received);
    void handleMessage(const core::endpoint &peer, const moves::evidence_ack &received);
    void handleMessage(const core::endpoint &peer, const moves::breaker_report &received);
    void updateNodeBreaker(const moves::breaker_input &input);
    void updateRelayBreaker(const moves::breaker_input &input);
    void sendReport(const core::endpoint &peer, const moves::message &report);
    void logChange(const moves::breaker_changed &change, const char *scope);

    process_context &m_context;
    moves_topology m_topology;
    mesh_send m_send;
    std::function<void()> m_changed;
    core::monotonic_time m_now;
    boost::lockfree::queue<proxy::attempt_record *> m_attempts;
    // The services with a move. Evidence is recorded only for these, so that reports do not spend
    // bandwidth on services that need none.
    std::map<core::service_name, document::move_state> m_moves;
    moves::evidence_recorder m_recorder;
    moves::circuit_breaker m_breaker;
    moves::evidence_uplink m_uplink;
    std::size_t m_relayIndex = 0;
    std::optional<core::monotonic_time> m_unackedSince;
    // Used only on a relay.
    moves::evidence_collector m_collector;
    moves::circuit_breaker m_relayBreaker;
    moves::evidence_uplink m_relayUplink;
    std::set<core::endpoint> m_reportingNodes;
    core::endpoint m_leader;
    std::size_t m_sourceIndex = 0;
    std::optional<core::monotonic_time> m_relayUnackedSince;
};

} // namespace jackdawweir::daemon
