// Runs one request: makes attempts at backend servers within its time and retry budget.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "jackdawweir/proxy/request_handler.h"
#include "jackdawweir/proxy/upstream_client.h"
#include "jackdawweir/request/retry_policy.h"

namespace jackdawweir::proxy::internal {

// The state that a request thread keeps across requests.
struct thread_state {
    upstream_client client;
    core::random_engine engine;

    thread_state();
};

// The result of an attempt. run() returns the result of the last one.
struct request_run_result {
    request::attempt_outcome attemptOutcome;
    // The response of the backend server; empty when it may not be forwarded.
    http_response response;
    std::string reason;
};

class request_run
{
public:
    request_run(const http_request &received,
                const routing_state &state,
                const document::route &route,
                const attempt_observer &observer,
                const core::clock &clock,
                thread_state &thread);

    // Asks admission control. Returns false and sets the reason when the request must be shed.
    bool admit(std::string &reason);

    // Makes attempts until no retry is allowed, and returns the last result. `key` is set for a
    // non-idempotent request.
    request_run_result run(const core::request_key &key);

    // The total duration of the attempts made so far.
    std::chrono::nanoseconds upstreamTime() const
    {
        return m_upstreamTime;
    }

private:
    request_run_result attempt(const core::request_key &key);
    request_run_result
    finish(request::server_claim &claim, const upstream_result &sent, const std::string &requestId);
    upstream_request buildRequest(const core::endpoint &address,
                                  const core::request_key &key,
                                  std::string requestId);
    request::attempt_facts factsOf(const request::server_claim &claim,
                                   const upstream_result &sent,
                                   const std::string &requestId) const;
    std::chrono::nanoseconds remainingTime() const;
    service_counters &counters() const;

    const http_request &m_received;
    const routing_state &m_state;
    const document::route &m_route;
    const attempt_observer &m_observer;
    const core::clock &m_clock;
    thread_state &m_thread;
    core::monotonic_time m_startedAt;
    std::chrono::nanoseconds m_timeBudget;
    std::uint32_t m_attemptLevel;
    std::uint32_t m_attempts = 0;
    core::endpoint m_avoidedServer;
    std::chrono::nanoseconds m_upstreamTime{0};
};

} // namespace jackdawweir::proxy::internal
