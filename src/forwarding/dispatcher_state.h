// The records behind a dispatcher.

#pragma once

#include <utility>

#include "jackdawweir/forwarding/dispatcher.h"

namespace jackdawweir::forwarding {

// One caller's request and its attempt under way.
struct dispatcher::open_request {
    std::uint64_t number = 0;
    caller_request request;
    answer_handler handler;
    // Held, since a newer view must not change the contract of a request under way.
    std::shared_ptr<const policy::route_table> routes;
    const policy::route *route = nullptr;
    core::service_name service;
    core::monotonic_time begunAt;
    core::monotonic_time deadline;
    core::monotonic_time target;
    std::set<fleet::instance_name> tried;
    // Servers that the request was sent to and that may have run it.
    std::uint32_t attempts = 0;
    std::uint32_t fullNodes = 0;
    std::uint32_t goneServers = 0;
    std::optional<std::chrono::milliseconds> roomAfter;
    // The server's own failure, which the caller gets where no attempt does better.
    std::optional<http::response> failure;
    forward_reason unknownReason = forward_reason::None;
    bool mayHaveRun = false;

    // The attempt under way; zero where there is none.
    std::uint64_t attemptNumber = 0;
    chosen_server server;
    core::monotonic_time sentAt;

    bool isIdempotent() const
    {
        return route->kind == document::request_kind::Idempotent;
    }
};

// Spreads the requests of a route over its parts by smooth weighted round robin.
struct dispatcher::route_parts {
    std::vector<double> credits;
};

// The latest rollout of a service and what this node saw of it.
struct dispatcher::watched_rollout {
    policy::rollout rollout;
    fleet::rollout_report report;
    rollout_guard guard;
};

struct dispatcher::peer_state {
    core::monotonic_time heardAt;
    // When the peer was asked first since it was heard last, and when last.
    std::optional<core::monotonic_time> askedFirst;
    core::monotonic_time askedLast;
    bool isUnreachable = false;
};

} // namespace jackdawweir::forwarding
