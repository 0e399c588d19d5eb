// Carries each caller's request to a backend server and decides on further attempts. A
// deterministic state machine: the driver feeds it requests, answers, lost links and time.
//
// What has left for a server is never called "not run" unless the node beside the server, or the
// server itself, says so; a non-idempotent request that may have run is never sent again.
//
//     dispatcher own(settings, hooks, engine);
//     own.setView(view, now);
//     own.setHosts(hosts, now);
//     const std::uint64_t number = own.begin(request, handler, now);
//     own.handle(peer, answer, now);
//     own.tick(now);

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

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/fleet/messages.h"
#include "jackdawweir/forwarding/caller_patience.h"
#include "jackdawweir/forwarding/messages.h"
#include "jackdawweir/forwarding/retry_share.h"
#include "jackdawweir/forwarding/rollout_guard.h"
#include "jackdawweir/forwarding/server_choice.h"
#include "jackdawweir/http/message.h"
#include "jackdawweir/policy/policy_state.h"
#include "jackdawweir/policy/route_table.h"

namespace jackdawweir::forwarding {

struct dispatcher_settings {
    choice_settings loadBalancing;
    retry_settings retries;
    // The service of the own host, told to the backend server.
    core::service_name ownService;
    // Nodes that may refuse one request for want of room before its caller is told.
    std::uint32_t maxFullNodes = 3;
    // Servers that may turn out to be gone before the caller is told.
    std::uint32_t maxGoneServers = 6;
    // The least time with which an attempt starts.
    std::chrono::milliseconds minAttemptTime{5};
    // A node is asked whether it answers once a request there has taken this much longer than its
    // server's mean time, and nothing was heard from the node for as long.
    std::chrono::milliseconds probeAfter{100};
    // A node that says nothing for this long after it was asked gets no further requests, and its
    // idempotent requests go elsewhere. A node whose share of a core is used up may pause for a
    // tenth of a second.
    std::chrono::milliseconds silentAfter{300};
    // A link that is silent for this long is closed, so that a new one can be opened.
    std::chrono::milliseconds closeLinkAfter{1'500};
    // The pause between questions to a node that does not answer.
    std::chrono::milliseconds probeInterval{300};
    // Told to callers while no policy is known or no server is listed: a source answers a starting
    // node within this time.
    std::chrono::milliseconds startupRetryAfter{300};
    // The shortest and longest time after which a refused caller is asked to come back.
    std::chrono::milliseconds minRetryAfter{50};
    std::chrono::milliseconds maxRetryAfter{1'000};
};

struct caller_request {
    // The caller's id for this request.
    std::string id;
    http::request message;
    // How long the caller waits, where it says so.
    std::optional<std::chrono::milliseconds> remaining;
};

// How a request ended.
enum class caller_outcome : std::uint8_t {
    Answered, // With the backend server's own response.
    NoRoute, // No route allows it.
    NotRun, // It did not run and never will.
    Unknown, // It may have run; no response will come.
    TimedOut, // Its time is over; it may have run.
};

const char *toString(caller_outcome outcome);

struct caller_answer {
    caller_outcome outcome = caller_outcome::Unknown;
    forward_reason reason = forward_reason::None;
    // Answered: the response.
    http::response response;
    // NotRun: when the caller should come back.
    std::chrono::milliseconds retryAfter{0};
    // What led to the answer, for the log.
    core::route_name route;
    fleet::instance_name instance;
    std::uint32_t attempts = 0;
    std::uint32_t refusals = 0;
    std::uint64_t revision = 0;
    // Hosts that the node knew of.
    std::size_t knownHosts = 0;
    std::chrono::nanoseconds elapsed{0};
};

struct dispatcher_hooks {
    // Returns false where the message was dropped and never arrives.
    std::function<bool(const core::endpoint &peer, const message &sent)> send;
    std::function<void(const core::endpoint &peer)> closeLink;
    std::function<void(const core::endpoint &peer, bool isReachable)> reachabilityChanged;
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

    // Takes a newer view into force; an older one is ignored.
    void setView(policy::policy_view view);
    void setHosts(const std::vector<fleet::host_record> &hosts, core::monotonic_time now);
    void setOwnService(const core::service_name &service);

    // The revision of the view in force; zero before the first.
    std::uint64_t revision() const;
    const policy::policy_view &view() const;

    // Returns the number for cancel(). The handler may be called before this returns.
    std::uint64_t begin(caller_request request, answer_handler handler, core::monotonic_time now);
    void cancel(std::uint64_t number);

    void handle(const core::endpoint &peer, forward_answer answer, core::monotonic_time now);
    // Any message from a node shows that it answers.
    void noteReceived(const core::endpoint &peer, core::monotonic_time now);
    void linkLost(const core::endpoint &peer, bool wasConnected, core::monotonic_time now);
    void tick(core::monotonic_time now);

    std::size_t openRequests() const;
    // What this node saw of the rollouts that run.
    std::vector<fleet::rollout_report> rolloutReports() const;

private:
    struct open_request;
    struct route_parts;
    struct peer_state;
    struct watched_rollout;

    using open_pointer = std::shared_ptr<open_request>;

    void attempt(const open_pointer &open, core::monotonic_time now);
    bool trySend(const open_pointer &open, core::monotonic_time now);
    wanted_server wantedFor(const open_request &open, core::monotonic_time now);
    void
    wantVersion(const watched_rollout &watched, core::monotonic_time now, wanted_server &wanted);
    core::service_name choosePart(const policy::route &route);
    forward_request forwardOf(const open_request &open,
                              const chosen_server &chosen,
                              core::monotonic_time now) const;
    void takeAnswered(const open_pointer &open, forward_answer answer, core::monotonic_time now);
    void
    takeNotRun(const open_pointer &open, const forward_answer &answer, core::monotonic_time now);
    void takeUnknown(const open_pointer &open, forward_reason reason, core::monotonic_time now);
    bool mayRepeat(open_request &open, core::monotonic_time now);
    void endAttempt(open_request &open);
    // Ends the attempt under way without its answer, and tells the node.
    void abandonAttempt(open_request &open);
    void takeSilent(const open_pointer &open, forward_answer answer, core::monotonic_time now);
    // Waits for the silent node again. Returns false where there is none or no time is left.
    bool resumeSilent(open_request &open, core::monotonic_time now);
    void dropSilent(open_request &open);
    void abandonSilent(open_request &open);
    void finish(const open_pointer &open, caller_answer answer, core::monotonic_time now);
    void finishNotRun(const open_pointer &open, forward_reason reason, core::monotonic_time now);
    void expire(core::monotonic_time now);
    void watchPeers(core::monotonic_time now);
    std::map<core::endpoint, bool> peersWithRequests(core::monotonic_time now) const;
    void moveElsewhere(const core::endpoint &peer, core::monotonic_time now);
    std::vector<open_pointer> openAt(const core::endpoint &peer) const;
    std::vector<open_pointer> silentAt(const core::endpoint &peer) const;
    void countVersion(const open_request &open, bool isFailure, core::monotonic_time now);

    dispatcher_settings m_settings;
    dispatcher_hooks m_hooks;
    core::random_engine m_engine;
    server_choice m_choice;
    policy::policy_view m_view;
    std::shared_ptr<const policy::route_table> m_routes;
    std::map<core::route_name, route_parts> m_parts;
    caller_patience m_patience;
    std::map<core::service_name, retry_share> m_shares;
    std::map<core::service_name, watched_rollout> m_rollouts;
    std::uint64_t m_lastNumber = 0;
    // By the number of the request, and by the number of its attempt under way.
    std::map<std::uint64_t, open_pointer> m_open;
    std::map<std::uint64_t, open_pointer> m_attempts;
    std::map<core::endpoint, peer_state> m_peers;
};

} // namespace jackdawweir::forwarding
