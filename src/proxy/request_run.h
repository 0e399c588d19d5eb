// The work on one request: the attempts at backend servers within its time and retry budget.

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

// What a request thread keeps between requests.
struct thread_state {
    upstream_client client;
    core::random_engine engine;

    thread_state();
};

// How the attempts of a request ended.
struct run_end {
    request::attempt_outcome ended;
    // The response of the backend server, where it may be forwarded.
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

    // Returns false where the request is to be shed, with the reason.
    bool isAdmitted(std::string &reason);

    // Makes attempts until one is final. `key` is set for a non-idempotent request.
    run_end run(const core::request_key &key);

    // The time spent in attempts so far.
    std::chrono::nanoseconds upstreamTime() const
    {
        return m_upstreamTime;
    }

private:
    run_end attempt(const core::request_key &key);
    run_end
    finish(request::server_claim &claim, const upstream_result &sent, const std::string &requestId);
    upstream_request buildRequest(const core::endpoint &address,
                                  const core::request_key &key,
                                  std::string requestId);
    request::attempt_facts factsOf(const request::server_claim &claim,
                                   const upstream_result &sent,
                                   const std::string &requestId) const;
    std::chrono::nanoseconds remaining() const;
    service_counters &counters() const;

    const http_request &m_received;
    const routing_state &m_state;
    const document::route &m_route;
    const attempt_observer &m_observer;
    const core::clock &m_clock;
    thread_state &m_thread;
    core::monotonic_time m_startedAt;
    std::chrono::nanoseconds m_time;
    std::uint32_t m_level;
    std::uint32_t m_attempts = 0;
    core::endpoint m_avoided;
    std::chrono::nanoseconds m_upstreamTime{0};
};

} // namespace jackdawweir::proxy::internal
