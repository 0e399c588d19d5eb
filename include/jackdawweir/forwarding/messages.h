// Messages between the node of the caller's host and the node beside the backend server, on
// wire::channel::Forwarding. Only the node beside a server sends requests to it, so that node alone
// decides what runs there.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/fleet/records.h"
#include "jackdawweir/forwarding/downstream_load.h"
#include "jackdawweir/forwarding/server_statement.h"
#include "jackdawweir/http/message.h"
#include "jackdawweir/policy/model.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::forwarding {

// The load of one backend server, as the node beside it counts it.
struct server_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // The mean run time of a request.
    std::chrono::microseconds meanRunTime{0};
    // The mean run time of a request of the answered request's route; zero if it is not known.
    std::chrono::microseconds routeRunTime{0};
    // The failure rate of the latest requests at the server, in thousandths.
    std::uint32_t failuresPerMille = 0;
    server_statement stated;
    // The time until the limit in force permits a further request; zero without a limit.
    std::chrono::microseconds limitWait{0};
    // The limit in force, in requests per second: the lower of the one that the server states and,
    // while it is cold, the one that the policy sets for a cold server. Zero for none.
    double limitPerSecond = 0;
    // The calls that runs of the answered request's route make.
    std::vector<downstream_load> downstream;
    // How long work takes at the server when it answers, in per cent of what is usual there; 100
    // also if the server states nothing about it.
    std::uint32_t slowdownPercent = 100;

    friend bool operator==(const server_load &, const server_load &) = default;

    MSGPACK_DEFINE_ARRAY(running,
                         waiting,
                         slots,
                         meanRunTime,
                         routeRunTime,
                         failuresPerMille,
                         stated,
                         limitWait,
                         limitPerSecond,
                         downstream,
                         slowdownPercent)
};

struct forward_request {
    // Unique among the requests of all starts of the sending node.
    std::uint64_t number = 0;
    fleet::instance_name instance;
    core::route_name route;
    // The caller's id for this request, which the response echoes.
    std::string requestId;
    core::service_name callerService;
    document::request_kind kind = document::request_kind::NonIdempotent;
    std::uint32_t rank = 0;
    // The time until the caller's deadline.
    std::chrono::microseconds remaining{0};
    // The time left to the target, after which a response has lost most of its value; may be
    // negative.
    std::chrono::microseconds targetRemaining{0};
    std::string method;
    std::string target;
    // Another server can take the request, so the admission queue refuses it rather than let it
    // wait long.
    bool mayUseAnotherServer = false;
    http::header_list headers;
    std::string body;
    // What the sending node knows from earlier answers that the server states.
    server_statement stated;
    // The workspace of the caller, and its rank; the name is empty if the caller has none.
    policy::workspace_name workspace;
    std::uint32_t workspaceRank = 0;
    // A backend server makes this request while it runs another one.
    bool isCallOfRun = false;
    // The weight of the workspace where a server has too little room for all.
    double workspaceWeight = 1;

    MSGPACK_DEFINE_ARRAY(number,
                         instance,
                         route,
                         requestId,
                         callerService,
                         kind,
                         rank,
                         remaining,
                         targetRemaining,
                         method,
                         target,
                         mayUseAnotherServer,
                         headers,
                         body,
                         stated,
                         workspace,
                         workspaceRank,
                         isCallOfRun,
                         workspaceWeight)
};

enum class forward_outcome : std::uint8_t {
    Answered, // The backend server's own response.
    NotRun, // The request did not run and never will.
    Unknown, // The request may have run.
};

// Why a request did not run, or why it is unknown whether it ran.
enum class forward_reason : std::uint8_t {
    None,
    Full, // No slot will be free in time.
    ServerGone, // No such backend server, or nothing listens at its address.
    Draining, // The backend server or its node is leaving.
    Rejected, // The backend server said that it did not run the request.
    Broken, // The connection to the backend server ended without a response.
    LinkLost, // The link between the two nodes ended.
    Silent, // The node beside the backend server does not answer.
    Recalled, // The sending node recalled it before it was sent to the backend server.
    Evacuated, // The data centre of the backend server is evacuated.
    Cold, // The backend server is cold and takes no further request soon enough.
    CalledServiceFull, // A service that its run would call has no room for the calls.
    Slow, // Work takes long at the backend server just now; another one can take the request.
    OverShare, // No slot will be free in time, and the workspace has used more than its share.
};

const char *toString(forward_outcome outcome);
const char *toString(forward_reason reason);

} // namespace jackdawweir::forwarding

MSGPACK_ADD_ENUM(jackdawweir::forwarding::forward_outcome)
MSGPACK_ADD_ENUM(jackdawweir::forwarding::forward_reason)

namespace jackdawweir::forwarding {

struct forward_answer {
    std::uint64_t number = 0;
    forward_outcome outcome = forward_outcome::Unknown;
    forward_reason reason = forward_reason::None;
    // Answered: the response.
    unsigned status = 0;
    http::header_list headers;
    std::string body;
    // NotRun: the time until a slot is expected to be free.
    std::chrono::microseconds retryAfter{0};
    // Whether the request was sent to the backend server.
    bool wasSentToServer = false;
    server_load load;

    MSGPACK_DEFINE_ARRAY(number,
                         outcome,
                         reason,
                         status,
                         headers,
                         body,
                         retryAfter,
                         wasSentToServer,
                         load)
};

// Cancels a request whose caller has disconnected or whose deadline has passed.
struct forward_cancel {
    std::uint64_t number = 0;

    MSGPACK_DEFINE_ARRAY(number)
};

// Takes back a request that still waits for its backend server, which is then answered as not run.
// One that was sent to the server continues.
struct forward_recall {
    std::uint64_t number = 0;

    MSGPACK_DEFINE_ARRAY(number)
};

// Checks whether the node at the other end still responds.
struct liveness_probe {
    std::uint64_t number = 0;

    MSGPACK_DEFINE_ARRAY(number)
};

struct liveness_reply {
    std::uint64_t number = 0;

    MSGPACK_DEFINE_ARRAY(number)
};

// Nodes of an earlier version decode the earlier alternatives, so new ones are added at the end.
using message = std::variant<forward_request,
                             forward_answer,
                             forward_cancel,
                             liveness_probe,
                             liveness_reply,
                             forward_recall>;

} // namespace jackdawweir::forwarding
