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

    // An attempt at a node that does not answer, while another one is under way. Its answer counts
    // if it comes first, and is waited for where no other server takes the request.
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

    // The server and the time of one of its attempts.
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
