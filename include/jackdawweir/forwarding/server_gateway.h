// Runs requests at the backend servers of the own host, with one admission queue and one connection
// pool for each server. Nothing else on the host, and no other host, sends requests to these
// servers.
//
//     server_gateway gateway(context, settings, clock, hooks);
//     gateway.setServers(servers);
//     gateway.handle(peer, forwarded, now);
//     gateway.tick(now);

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/memory_budget.h"
#include "jackdawweir/fleet/records.h"
#include "jackdawweir/forwarding/admission_queue.h"
#include "jackdawweir/forwarding/call_graph.h"
#include "jackdawweir/forwarding/gateway_policy.h"
#include "jackdawweir/forwarding/header_names.h"
#include "jackdawweir/forwarding/messages.h"
#include "jackdawweir/forwarding/server_pace.h"
#include "jackdawweir/forwarding/server_statement.h"
#include "jackdawweir/http/client_connection.h"
#include "jackdawweir/http/message.h"

namespace jackdawweir::forwarding {

struct gateway_settings {
    header_names headers;
    http::client_settings client;
    admission_queue_settings admissionQueue;
    // A leaving server still gets requests for this long after its leave was acknowledged, and
    // every server for this long after the node began to leave. The callers' nodes learn of a leave
    // with the next report; until then each request they send would be refused.
    std::chrono::milliseconds acceptWhileDraining{800};
    // A request that still runs this long after the caller's deadline is abandoned.
    std::chrono::milliseconds deadlineGrace{30};
    // A server that may have become cold is asked at this interval, and each check ends after the
    // timeout.
    std::chrono::milliseconds healthInterval{300};
    std::chrono::milliseconds healthTimeout{1'000};
    // A server at which work takes this many times as long as usual refuses a request that would
    // miss `slowEndFraction` of the time to its target and that another server can take.
    double slowFactor = 1.5;
    double slowEndFraction = 0.6;
    // The runs of the host's servers; shared with the dispatcher, which records their calls.
    std::shared_ptr<call_graph> calls = std::make_shared<call_graph>();
    // Limits the memory of the requests here and of the responses that are being received; may be
    // empty.
    std::shared_ptr<core::memory_budget> budget;
};

// A backend server of the own host.
struct hosted_server {
    fleet::server_record record;
    // When its leave began; empty while it takes requests.
    std::optional<core::monotonic_time> drainingSince;
};

// A request that is sent to a server whose leave was acknowledged or whose node is leaving.
struct leaving_request {
    core::endpoint peer;
    std::string requestId;
    fleet::instance_name instance;
    // The time since the leave began.
    std::chrono::milliseconds leavingFor{0};
};

// A change in what a server states about itself.
struct stated_change {
    fleet::instance_name instance;
    // The wall time of the server's start; zero if the server does not report it.
    std::chrono::milliseconds startedAt{0};
    statement_event event = statement_event::Malformed;
    // The limits after and before the change; zero for none.
    double requestsPerSecond = 0;
    double previousPerSecond = 0;
};

// The limits that the servers of the host state.
struct limit_totals {
    std::uint32_t servers = 0;
    double requestsPerSecond = 0;
};

// A server has become cold or warm.
struct cold_change {
    fleet::instance_name instance;
    bool isCold = false;
    // The server may be cold and has not said so.
    bool isSuspected = false;
    std::chrono::milliseconds remaining{0};
    // The limit in force; zero for none.
    double limitPerSecond = 0;
};

struct gateway_hooks {
    std::function<void(const core::endpoint &peer,
                       const std::string &requestId,
                       const forward_answer &answer)>
        answer;
    // A server has become absent or present.
    std::function<void()> presenceChanged;
    std::function<void(const leaving_request &started)> startedWhileLeaving;
    std::function<void(const stated_change &change)> serverStated = [](const stated_change &) {
    };
    std::function<void(const cold_change &change)> coldChanged = [](const cold_change &) {
    };
};

class server_gateway
{
public:
    server_gateway(boost::asio::io_context &context,
                   const gateway_settings &settings,
                   const core::clock &clock,
                   gateway_hooks hooks);
    ~server_gateway();
    server_gateway(const server_gateway &) = delete;
    server_gateway &operator=(const server_gateway &) = delete;

    // Replaces the servers. Requests that run at a server that is no longer listed continue.
    void setServers(const std::vector<hosted_server> &servers);

    // Puts a policy into force. An evacuation applies to waiting requests as well; running ones
    // continue. Until the first policy is set, no data centre counts as evacuated, and a cold
    // server gets no requests.
    void setPolicy(gateway_policy policy, core::monotonic_time now);

    // Records for how long a server stays cold by its announcement.
    void recordAnnouncement(const fleet::instance_name &instance,
                            std::chrono::milliseconds coldFor,
                            core::monotonic_time now);

    // Returns for how long a server is expected to stay cold; zero if it is not cold or not known.
    std::chrono::milliseconds coldFor(const fleet::instance_name &instance,
                                      core::monotonic_time now) const;
    std::size_t coldServers(core::monotonic_time now) const;
    // Returns true if the data centre of the node is evacuated.
    bool isEvacuated() const;

    // Marks a server that announced itself as present, since it listens at its address.
    void markPresent(const fleet::instance_name &instance);

    // Returns false after a connection to the server was refused, until it announces itself again.
    bool isPresent(const fleet::instance_name &instance) const;

    void handle(const core::endpoint &peer, forward_request received, core::monotonic_time now);
    void
    handle(const core::endpoint &peer, const forward_cancel &cancelled, core::monotonic_time now);

    void
    handle(const core::endpoint &peer, const forward_recall &recalled, core::monotonic_time now);

    // Abandons the requests that the peer sent, since their answers can't reach it.
    void linkLost(const core::endpoint &peer, core::monotonic_time now);

    // The node is leaving: every server is draining from now on.
    void beginLeaving(core::monotonic_time now);

    void tick(core::monotonic_time now);

    // Returns the number of requests that run or wait.
    std::size_t openRequests() const;
    std::size_t waitingRequests() const;
    limit_totals statedLimits() const;

private:
    struct served_request;
    struct local_server;

    using request_pointer = std::shared_ptr<served_request>;
    using server_pointer = std::shared_ptr<local_server>;

    bool isDrained(const local_server &server, core::monotonic_time now) const;
    std::optional<forward_reason> refusalFor(const fleet::instance_name &instance,
                                             core::monotonic_time now) const;
    std::optional<core::monotonic_time> leavingSince(const local_server &server) const;
    void reportIfLeaving(const served_request &started) const;
    static admission_queue_request queueRequestOf(const served_request &served,
                                                  core::monotonic_time now);
    void run(const request_pointer &started);
    // Returns false if there is no memory for the request.
    bool tryClaim(served_request &received) const;
    // Refuses a request that holds a slot but was not sent, if its server no longer takes requests.
    bool refuseIfDrained(const request_pointer &request);
    void send(const request_pointer &started, bool onNewConnection);
    http::request requestFor(const served_request &served,
                             std::chrono::nanoseconds remaining) const;
    // Returns an idle connection that may carry the request, or a new one.
    std::shared_ptr<http::client_connection>
    takeConnection(local_server &server, const http::response_identity &expected, bool isNew);
    // Keeps the connection for further requests to the server, or closes it.
    static void returnConnection(const std::shared_ptr<http::client_connection> &used,
                                 local_server &server);
    void readStatement(local_server &server, const http::response &received, bool isNotRun);
    void readLoad(local_server &server, const http::response &received);
    // Returns how long a run that ends now would have taken at the usual pace of its server.
    static std::chrono::nanoseconds usualRunTime(const served_request &ended,
                                                 core::monotonic_time now);
    // Returns true if another server should take the request, since work takes long at this one at
    // present.
    bool isTooSlowFor(const local_server &server,
                      const forward_request &received,
                      core::monotonic_time now) const;
    // Reports changes in what the server states, and puts its limit into force.
    void applyStatement(local_server &server,
                        const std::vector<statement_event> &events,
                        double previousLimit);
    void adoptStatement(local_server &server, const server_statement &known);
    cold_rule coldRuleOf(const local_server &server) const;
    bool isColdRateUnknown(const local_server &server, core::monotonic_time now) const;
    // Returns the lower of the limit that the server states and that of a cold server; zero for
    // none.
    double limitInForce(const local_server &server, core::monotonic_time now) const;
    void updateLimit(local_server &server, core::monotonic_time now);
    // Puts the limit into force, reports a change and checks the health if that is due.
    void updateCold(const server_pointer &server, core::monotonic_time now);
    void checkHealth(const server_pointer &server, core::monotonic_time now);
    void handleHealth(const server_pointer &server,
                      const std::shared_ptr<http::client_connection> &used,
                      const http::client_result &result);
    static void endHealthCheck(local_server &server);
    void handleResult(const request_pointer &ended, http::response received);
    void handleResult(const request_pointer &ended, const http::client_failure &failure);
    void apply(const server_pointer &server, const std::vector<admission_queue_action> &actions);
    void end(const request_pointer &ended, forward_answer answer);
    server_load loadFor(const served_request &request) const;
    void refuse(const request_pointer &refused,
                forward_reason reason,
                std::chrono::microseconds retryAfter);
    void abandon(const request_pointer &abandoned, core::monotonic_time now);
    void markAbsent(const server_pointer &server);

    boost::asio::io_context &m_context;
    gateway_settings m_settings;
    const core::clock &m_clock;
    gateway_hooks m_hooks;
    std::map<fleet::instance_name, server_pointer> m_servers;
    std::uint64_t m_lastLocalId = 0;
    std::map<std::uint64_t, request_pointer> m_requests;
    // The local id of a request by the peer that sent it and the peer's number for it.
    std::map<std::pair<core::endpoint, std::uint64_t>, std::uint64_t> m_localIds;
    std::optional<core::monotonic_time> m_leavingSince;
    std::optional<gateway_policy> m_policy;
};

} // namespace jackdawweir::forwarding
