// The path of one request through a node: route, admission, choice of a backend server, attempts,
// and the response that says whether the request was done, was not run, or may have run.
//
//     request_handler path(routing, ledger, observers, clock);
//     http_listener listener(settings.callers, [&path](const http_request &received) {
//         return path.handle(received);
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

// One finished attempt at a backend server, as evidence about its version.
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
    // All references outlive the path.
    request_handler(const rcu_cell<routing_state> &routing,
                    key_ledger &ledger,
                    observe::metrics &counted,
                    attempt_observer observer,
                    const core::clock &clock);

    // Safe to call from several threads.
    http_response handle(const http_request &received);

private:
    const rcu_cell<routing_state> &m_routing;
    key_ledger &m_ledger;
    observe::metrics &m_metrics;
    attempt_observer m_observer;
    const core::clock &m_clock;
};

} // namespace jackdawweir::proxy
