// The private types of dispatcher.

#pragma once

#include <utility>

#include "jackdawweir/forwarding/dispatcher.h"

namespace jackdawweir::forwarding {

// One caller's request and its in-flight attempt.
struct dispatcher::open_request {
    std::uint64_t number = 0;
    caller_request request;
    answer_handler handler;
    // Keeps `route` valid: a newer view must not change the policy of a request in flight.
    std::shared_ptr<const policy::route_table> routes;
    const policy::route *route = nullptr;
    core::service_name service;
    policy::workspace_name workspace;
    std::uint32_t workspaceRank = 0;
    // A run of a server of the host makes this request.
    bool isCallOfRun = false;
    // The time for which the caller has waited already.
    std::chrono::milliseconds priorWait{0};
    // A service that has no room for the calls of this request's run.
    core::service_name fullService;
    double workspaceWeight = 1;
    core::monotonic_time begunAt;
    core::monotonic_time deadline;
    core::monotonic_time target;
    std::set<fleet::instance_name> tried;
    // The number of servers that got the request and may have run it.
    std::uint32_t attempts = 0;
    std::uint32_t fullNodes = 0;
    std::uint32_t unavailableServers = 0;
    // The number of cold servers that had no room for it.
    std::uint32_t coldRefusals = 0;
    std::optional<std::chrono::milliseconds> slotFreeAfter;
    // An error response of a server, which the caller gets if no attempt succeeds.
    std::optional<http::response> failure;
    forward_reason unknownReason = forward_reason::None;
    bool mayHaveRun = false;
    // It was counted for the quota of its workspace.
    bool isCounted = false;

    // The in-flight attempt; zero if there is none.
    std::uint64_t attemptNumber = 0;
    chosen_server server;
    core::monotonic_time sentAt;

    // An attempt at a node that does not respond, while another attempt is in flight. Its answer is
    // used if it arrives first, and is waited for if no other server takes the request.
    struct silent_attempt {
        std::uint64_t number = 0;
        chosen_server server;
        core::monotonic_time sentAt;
    };
    std::optional<silent_attempt> silent;

    bool isSilent(std::uint64_t attempt) const
    {
        return silent && silent->number == attempt;
    }

    // The server of one of the attempts, and the time at which it was sent.
    const chosen_server &serverOf(std::uint64_t attempt) const
    {
        return isSilent(attempt) ? silent->server : server;
    }

    core::monotonic_time sentAtOf(std::uint64_t attempt) const
    {
        return isSilent(attempt) ? silent->sentAt : sentAt;
    }

    bool isIdempotent() const
    {
        return route->kind == document::request_kind::Idempotent;
    }
};

// The latest rollout of a service and this node's request counts for it.
struct dispatcher::watched_rollout {
    policy::rollout rollout;
    fleet::rollout_report report;
    rollout_circuit_breaker circuitBreaker;
};

} // namespace jackdawweir::forwarding
