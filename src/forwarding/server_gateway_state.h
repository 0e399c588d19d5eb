// The private types of server_gateway.

#pragma once

#include "jackdawweir/forwarding/cold_state.h"
#include "jackdawweir/forwarding/server_gateway.h"

namespace jackdawweir::forwarding {

// One request in an admission queue.
struct server_gateway::served_request {
    std::uint64_t localId = 0;
    core::endpoint peer;
    forward_request forwarded;
    server_pointer server;
    core::monotonic_time deadline;
    core::monotonic_time startedAt;
    // Present while the request runs.
    std::shared_ptr<http::client_connection> connection;
    // How many times as long as usual work was expected to take at the start.
    double slowdownAtStart = 1;
    bool isRunning = false;
    bool wasResent = false;
    // The memory of the request and of the copy that is sent to the server.
    std::optional<core::memory_claim> claim;
};

struct server_gateway::local_server {
    explicit local_server(const admission_queue_settings &settings)
        : admission(settings)
    {
    }

    fleet::server_record record;
    admission_queue admission;
    // Of this start of the server.
    statement_tracker statements;
    std::vector<std::shared_ptr<http::client_connection>> idle;
    std::optional<core::monotonic_time> drainingSince;
    // How long work takes at this start of the server, as its responses state it.
    server_pace pace;
    // When a response first stated that the server is leaving.
    std::optional<core::monotonic_time> statedLeaveAt;
    // Of this start of the server.
    cold_state cold;
    bool wasCold = false;
    // The limit in force; zero for none.
    double limitPerSecond = 0;
    // Present while the server is asked whether it is cold.
    std::shared_ptr<http::client_connection> healthCheck;
    core::monotonic_time healthCheckedAt;
    bool isAbsent = false;
    bool isListed = true;
};

} // namespace jackdawweir::forwarding
