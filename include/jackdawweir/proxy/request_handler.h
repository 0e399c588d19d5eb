// Handles a caller's request at a node: finds the route, applies admission control, selects a
// backend server, makes attempts, and returns a response that states whether the request was done,
// was not run, or may have run.
//
//     request_handler handler(routing, ledger, metrics, observer, clock);
//     http_listener listener(settings.callers, [&handler](const http_request &received) {
//         return handler.handle(received);
//     });

#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/membership/backend_server.h"
#include "jackdawweir/observe/metrics.h"
#include "jackdawweir/proxy/http_message.h"
#include "jackdawweir/proxy/key_ledger.h"
#include "jackdawweir/proxy/rcu_cell.h"
#include "jackdawweir/proxy/routing_state.h"
#include "jackdawweir/request/attempt_outcome.h"

namespace jackdawweir::proxy {

// A finished attempt at a backend server, used as evidence about the version that the server runs.
struct attempt_record {
    core::service_name service;
    core::version_name version;
    core::route_name route;
    core::data_centre_name dataCentre;
    request::attempt_outcome attemptOutcome;
    std::chrono::nanoseconds latency{0};
    bool isColdServer = false;
};

// Called on request threads; it must not block.
using attempt_observer = std::function<void(const attempt_record &)>;

class request_handler
{
public:
    // All references must outlive the handler.
    request_handler(const rcu_cell<routing_state> &routing,
                    key_ledger &ledger,
                    observe::metrics &nodeMetrics,
                    attempt_observer observer,
                    const core::clock &clock);

    // Thread-safe.
    http_response handle(const http_request &received);

private:
    const rcu_cell<routing_state> &m_routing;
    key_ledger &m_ledger;
    observe::metrics &m_metrics;
    attempt_observer m_observer;
    const core::clock &m_clock;
};

} // namespace jackdawweir::proxy
