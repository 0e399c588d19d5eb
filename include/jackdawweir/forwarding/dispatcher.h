// Sends each caller's request to a backend server and decides on retries. A deterministic state
// machine: its owner passes in requests, answers, lost links and the time.
//
// A request that was sent is reported as not run only if the node beside the server, or the server
// itself, confirms this. A non-idempotent request that may have run is never sent again.
//
//     dispatcher requests(settings, hooks, engine);
//     requests.setView(view);
//     requests.setHosts(hosts, now);
//     const std::uint64_t number = requests.begin(request, handler, now);
//     requests.handle(peer, answer, now);
//     requests.tick(now);

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jackdawweir/core/call_numbers.h"
#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/fleet/messages.h"
#include "jackdawweir/forwarding/call_graph.h"
#include "jackdawweir/forwarding/downstream_admission.h"
#include "jackdawweir/forwarding/load_balancer.h"
#include "jackdawweir/forwarding/messages.h"
#include "jackdawweir/forwarding/node_retry_budget.h"
#include "jackdawweir/forwarding/peer_watch.h"
#include "jackdawweir/forwarding/prior_wait_estimator.h"
#include "jackdawweir/forwarding/rollout_circuit_breaker.h"
#include "jackdawweir/forwarding/weighted_split.h"
#include "jackdawweir/http/message.h"
#include "jackdawweir/policy/policy_state.h"
#include "jackdawweir/policy/route_table.h"
#include "jackdawweir/policy/workspace_directory.h"
#include "jackdawweir/quota/node_quota.h"

namespace jackdawweir::forwarding {

struct dispatcher_settings {
    load_balancer_settings loadBalancing;
    retry_settings retries;
    // The service of the own host, sent to the backend server with each request.
    core::service_name ownService;
    // The runs of the host's servers, which the gateway records; their calls are recorded here.
    std::shared_ptr<call_graph> calls = std::make_shared<call_graph>();
    downstream_admission_settings downstream;
    // How many nodes may refuse one request for lack of a free slot before its caller is refused.
    std::uint32_t maxFullNodes = 3;
    // How many servers may prove to be unavailable before the caller is refused.
    std::uint32_t maxUnavailableServers = 6;
    // No attempt starts with less than this time left until the deadline.
    std::chrono::milliseconds minAttemptTime{5};
    peer_watch_settings peers;
    // The retry delay sent to callers while no policy is known or no server is listed: a source
    // answers a starting node within this time.
    std::chrono::milliseconds startupRetryAfter{300};
    // The bounds of the delay after which a refused caller is asked to retry.
    std::chrono::milliseconds minRetryAfter{50};
    std::chrono::milliseconds maxRetryAfter{1'000};
};

struct caller_request {
    // The caller's id for this request.
    std::string id;
    http::request message;
    // The time until the caller's deadline, if it states one.
    std::optional<std::chrono::milliseconds> remaining;
    // Empty if the caller states none.
    std::string apiKey;
    // The headers with the caller's credentials. Servers get them only while the policy holds no
    // workspaces.
    http::header_list credentials;
};

// How a request ended.
enum class caller_outcome : std::uint8_t {
    Answered, // With the backend server's own response.
    NoRoute, // No route matches it.
    Unauthorized, // Its route requires an API key of a workspace.
    NotRun, // It did not run and never will.
    Unknown, // It may have run; no response will arrive.
    TimedOut, // Its deadline has passed; it may have run.
    OverQuota, // Its workspace has used up its quota; it did not run and never will.
};

const char *toString(caller_outcome outcome);

struct caller_answer {
    caller_outcome outcome = caller_outcome::Unknown;
    forward_reason reason = forward_reason::None;
    // Answered: the response.
    http::response response;
    // NotRun, OverQuota: the delay after which the caller should retry.
    std::chrono::milliseconds retryAfter{0};
    // Details for the log.
    core::route_name route;
    policy::workspace_name workspace;
    fleet::instance_name instance;
    // NotRun with CalledServiceFull: the service that has no room.
    core::service_name fullService;
    std::uint32_t attempts = 0;
    std::uint32_t refusals = 0;
    std::uint64_t revision = 0;
    // The number of hosts that the node knew.
    std::size_t knownHosts = 0;
    std::chrono::nanoseconds elapsed{0};
};

struct dispatcher_hooks {
    // Returns false if the message was dropped and will never arrive.
    std::function<bool(const core::endpoint &peer, const message &sent)> send;
    std::function<void(const core::endpoint &peer)> closeLink;
    std::function<void(const core::endpoint &peer, reachability_change change)> reachabilityChanged;
};

using answer_handler = std::function<void(const caller_answer &)>;

class dispatcher
{
public:
    dispatcher(const dispatcher_settings &settings,
               dispatcher_hooks hooks,
               const core::random_engine &engine);
    ~dispatcher();
    dispatcher(const dispatcher &) = delete;
    dispatcher &operator=(const dispatcher &) = delete;

    // Puts a newer view into force; an older one is ignored.
    void setView(policy::policy_view view);
    void setHosts(const std::vector<fleet::host_record> &hosts, core::monotonic_time now);
    void setOwnService(const core::service_name &service);
    // Sets the quotas of workspaces, which must outlive the dispatcher. Without this call, requests
    // are not counted.
    void setQuota(quota::node_quota &quota);

    // Returns the revision of the view in force, or zero before the first one.
    std::uint64_t revision() const;
    const policy::policy_view &view() const;

    // Returns the number for cancel(). The handler may be called before this returns.
    std::uint64_t begin(caller_request request, answer_handler handler, core::monotonic_time now);
    void cancel(std::uint64_t number);
    // Starts no further attempt, and recalls the requests that wait for a server: their callers
    // learn that they did not run.
    void recallWaiting();

    void handle(const core::endpoint &peer, forward_answer answer, core::monotonic_time now);
    // Records that a message of any kind arrived from a node, which shows that it is reachable.
    void noteReceived(const core::endpoint &peer, core::monotonic_time now);
    void linkLost(const core::endpoint &peer, bool wasConnected, core::monotonic_time now);
    void tick(core::monotonic_time now);

    std::size_t openRequests() const;
    // Returns the number of listed nodes that get no requests because they do not respond.
    std::size_t unreachablePeers() const;
    // Returns the least share of the requests whose runs call a full service that is admitted.
    double leastDownstreamShare() const;
    // Returns the request counts of this node for the running rollouts.
    std::vector<fleet::rollout_report> rolloutReports() const;
    // Returns true if the target of a running rollout gets all requests of its service.
    bool isAnyRolloutAtWholeShare() const;

private:
    struct open_request;
    struct watched_rollout;

    using open_pointer = std::shared_ptr<open_request>;

    // Determines the workspace of the caller. Returns false if the route requires an API key that
    // the caller does not have, or no longer has.
    bool authorize(open_request &open) const;
    // Determines whether a run of a server of the host makes this request.
    void identifyCall(open_request &open, core::monotonic_time now);
    // Returns false if a service that the run of the request would call has no room.
    bool admitCalls(open_request &open, core::monotonic_time now);
    // Records how a request ended that a run of the host makes.
    void
    recordCall(const open_request &open, const caller_answer &answer, core::monotonic_time now);
    // Counts the request for the quota of its workspace. Returns the delay after which its caller
    // should retry if the quota is used up.
    std::optional<std::chrono::milliseconds> tryAdmit(open_request &open, core::monotonic_time now);
    // Counts a further run of the request, at another server.
    void chargeRepeat(const open_request &open, core::monotonic_time now);
    // Gives back the quota of a request that is answered as not run.
    void releaseQuota(open_request &open, caller_outcome outcome, core::monotonic_time now);
    void attempt(const open_pointer &open, core::monotonic_time now);
    bool trySend(const open_pointer &open, core::monotonic_time now);
    server_criteria criteriaFor(const open_request &open, core::monotonic_time now);
    void applyRollout(const watched_rollout &watched,
                      core::monotonic_time now,
                      server_criteria &criteria);
    forward_request makeForwardRequest(const open_request &open,
                                       const chosen_server &chosen,
                                       core::monotonic_time now) const;
    void handleAnswered(const open_pointer &open, forward_answer answer, core::monotonic_time now);
    void
    handleNotRun(const open_pointer &open, const forward_answer &answer, core::monotonic_time now);
    void handleUnknown(const open_pointer &open, forward_reason reason, core::monotonic_time now);
    bool mayRetry(open_request &open, core::monotonic_time now);
    void endAttempt(open_request &open);
    // Ends the in-flight attempt without an answer and sends a cancel to its node.
    void abandonAttempt(open_request &open);
    void
    handleSilentAnswer(const open_pointer &open, forward_answer answer, core::monotonic_time now);
    // Waits again for the node that did not respond. Returns false if there is none or no time is
    // left.
    bool resumeSilent(open_request &open, core::monotonic_time now);
    void dropSilent(open_request &open);
    void abandonSilent(open_request &open);
    void finish(const open_pointer &open, caller_answer answer, core::monotonic_time now);
    void finishUnauthorized(const open_pointer &open, core::monotonic_time now);
    void finishNotRun(const open_pointer &open, forward_reason reason, core::monotonic_time now);
    void expire(core::monotonic_time now);
    void watchPeers(core::monotonic_time now);
    void markUnreachable(const core::endpoint &peer, reachability_change change);
    peer_watch::busy_peers peersWithRequests(core::monotonic_time now) const;
    void retryElsewhere(const core::endpoint &peer, core::monotonic_time now);
    std::vector<open_pointer> requestsAt(const core::endpoint &peer) const;
    std::vector<open_pointer> silentRequestsAt(const core::endpoint &peer) const;
    void countVersion(const open_request &open, bool isFailure, core::monotonic_time now);

    dispatcher_settings m_settings;
    dispatcher_hooks m_hooks;
    core::random_engine m_engine;
    core::call_numbers m_numbers;
    load_balancer m_loadBalancer;
    policy::policy_view m_view;
    std::shared_ptr<const policy::route_table> m_routes;
    std::unique_ptr<const policy::workspace_directory> m_workspaces;
    quota::node_quota *m_quota = nullptr;
    route_splits m_splits;
    prior_wait_estimator m_priorWaits;
    downstream_admission m_downstream;
    std::map<core::service_name, node_retry_budget> m_retryBudgets;
    std::map<core::service_name, watched_rollout> m_rollouts;
    bool m_isRecalled = false;
    // By the number of the request, and by the number of its in-flight attempt.
    std::map<std::uint64_t, open_pointer> m_open;
    std::map<std::uint64_t, open_pointer> m_attempts;
    peer_watch m_peers;
};

} // namespace jackdawweir::forwarding
