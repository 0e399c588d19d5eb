// An event-driven model of callers, nodes, backend servers and ledger replicas for request_bench.
// It compares the request policy with round robin and plain retries at the deployment sizes of
// section 1.4.

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "jackdawweir/core/random.h"
#include "jackdawweir/ledger/key_claim.h"
#include "jackdawweir/ledger/ledger_replica.h"
#include "jackdawweir/request/admission.h"
#include "jackdawweir/request/retry_policy.h"
#include "jackdawweir/request/server_selector.h"

namespace jackdawweir::bench {

using core::monotonic_time;
using std::chrono::nanoseconds;

struct route_spec {
    const char *name;
    int service;
    document::request_kind kind;
    document::request_urgency urgency;
    unsigned weight;
    int deadlineMs;
    // Share of the requests to the service, from 0 to 1.
    double trafficShare;
};

struct deployment {
    const char *name;
    int dataCentres;
    std::vector<int> serversOfService;
    unsigned slots;
    // One-way delay between two data centres.
    std::chrono::microseconds interDataCentreDelay;
    std::vector<route_spec> routes;
};

struct model_settings {
    deployment sizes;
    bool isBaseline = false;
    // "none", "slow", "partition", "storm" or "noisy".
    std::string scenario = "none";
    double load = 1.0;
    std::chrono::seconds length{15};
    bool hedges = false;
    std::uint64_t seed = 1;
};

struct route_result {
    std::uint64_t sent = 0;
    std::uint64_t correct = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::vector<float> milliseconds;
};

struct model_result {
    std::vector<route_result> routes;
    // The requests of the flooding caller in the scenario "noisy".
    route_result flood;
    std::uint64_t doubleRuns = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t attempts = 0;
};

// A backend server refuses a request if its queue already holds twice as many requests as it has
// slots.
constexpr std::size_t queueFactor = 2;
constexpr unsigned connectionsOfServer = 130;
constexpr std::chrono::milliseconds meanServiceTime{20};

class request_model
{
public:
    explicit request_model(model_settings settings);
    model_result run();

private:
    struct attempt;
    struct call;
    using call_ptr = std::shared_ptr<call>;
    using attempt_ptr = std::shared_ptr<attempt>;

    // One request of a caller. A resend is another call with the same key.
    struct call {
        int route = 0;
        int node = 0;
        bool isFlood = false;
        std::uint64_t keyNumber = 0;
        core::request_key key;
        bool hasCallersKey = false;
        int resends = 0;
        monotonic_time startedAt;
        monotonic_time deadline;
        unsigned attempts = 0;
        unsigned running = 0;
        bool isOver = false;
        std::unique_ptr<ledger::key_claim> claim;
    };

    struct attempt {
        call_ptr owner;
        int server = 0;
        monotonic_time startedAt;
        bool isOver = false;
        bool isHedge = false;
        std::optional<request::server_claim> slot;
    };

    struct server {
        membership::backend_server record;
        int dataCentre = 0;
        double slowdown = 1.0;
        unsigned busy = 0;
        std::deque<attempt_ptr> queue;
    };

    struct node {
        int dataCentre = 0;
        std::unique_ptr<request::server_selector> selector;
        std::vector<std::unique_ptr<request::admission>> admissions;
        std::unique_ptr<request::retry_budget> budget = std::make_unique<request::retry_budget>();
        std::vector<std::vector<int>> roundRobinServers;
        std::vector<std::size_t> nextRoundRobinServer;
    };

    struct key_state {
        unsigned runs = 0;
        bool isNonIdempotent = false;
        std::optional<monotonic_time> reportedNotRunAt;
    };

    struct event {
        monotonic_time at;
        std::uint64_t order;
        std::function<void()> action;

        friend bool operator>(const event &left, const event &right)
        {
            return std::pair(left.at, left.order) > std::pair(right.at, right.order);
        }
    };

    // Set-up, request_model_setup.h.
    void addServers();
    void addNodes();
    void addReplicas();
    void buildSelector(node &built);
    void scheduleArrivals();
    void scheduleArrival(int route, double ratePerSecond, bool isFlood);
    void startPartition();
    void endPartition();

    void after(nanoseconds delay, std::function<void()> action);
    bool isCut(int left, int right) const;
    nanoseconds delayBetween(int left, int right) const;
    nanoseconds drawExponential(nanoseconds mean);

    // Callers.
    void arrive(const call_ptr &activeCall);
    void answer(const call_ptr &activeCall, request::request_outcome outcome, bool isCorrect);
    void resend(const call_ptr &activeCall);

    // Nodes.
    void startWithPolicy(const call_ptr &activeCall);
    void refuseWithPolicy(const call_ptr &activeCall);
    void attemptWithPolicy(const call_ptr &activeCall, const core::endpoint &avoided, bool isHedge);
    void endWithPolicy(const attempt_ptr &ended, const request::attempt_facts &facts);
    void finishWithPolicy(const call_ptr &activeCall, request::request_outcome outcome);
    void attemptWithBaseline(const call_ptr &activeCall);
    void endWithBaseline(const attempt_ptr &ended, const request::attempt_facts &facts);
    void end(const attempt_ptr &ended, const request::attempt_facts &facts);
    void send(const attempt_ptr &sent, nanoseconds timeLeft);

    // Backend servers.
    void receive(const attempt_ptr &received);
    void begin(const attempt_ptr &begun);
    void beginNext(server &freed);
    void respond(const attempt_ptr &answered, int status, bool wasRun);

    // Ledger.
    void perform(const call_ptr &activeCall, const ledger::claim_effects &effects);
    void performReplica(int replica, const ledger::replica_effects &effects);
    void scheduleTick(const call_ptr &activeCall);
    ledger::ledger_time ledgerNow() const;

    const route_spec &specOf(const call &activeCall) const
    {
        return m_settings.sizes.routes[static_cast<std::size_t>(activeCall.route)];
    }

    model_settings m_settings;
    core::random_engine m_engine;
    monotonic_time m_now{std::chrono::hours(1)};
    monotonic_time m_end;
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    document::configuration m_configuration;
    std::vector<server> m_servers;
    std::vector<node> m_nodes;
    std::vector<std::unique_ptr<ledger::ledger_replica>> m_replicas;
    std::vector<core::host_name> m_replicaNames;
    std::map<ledger::attempt_id, std::weak_ptr<call>> m_claims;
    std::vector<key_state> m_keys;
    // Data centre 0 is partitioned from the others.
    bool m_isPartitioned = false;
    // Membership has removed the unreachable servers.
    bool m_isExcluded = false;
    model_result m_result;
};

} // namespace jackdawweir::bench
