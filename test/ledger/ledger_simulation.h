// Simulates ledger replicas, nodes and callers on a faulty network, for property tests. All events
// are drawn from one seed.
//
//     ledger_world world(world_settings{}, seed);
//     world.run();
//     world.violations();   // empty where every guarantee held

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jackdawweir/core/random.h"
#include "jackdawweir/ledger/key_claim.h"
#include "jackdawweir/ledger/ledger_replica.h"

namespace jackdawweir::ledger {

struct simulation_settings {
    std::size_t replicas = 3;
    std::size_t nodes = 4;
    std::size_t keys = 12;
    // Requests for each key, including the first, spread over the period of faults.
    std::size_t requestsPerKey = 4;
    std::chrono::milliseconds faultDuration{8000};
    double lossProbability = 0.05;
    double duplicationProbability = 0.05;
    std::chrono::milliseconds maxDelay{120};
    // Each of these faults occurs at most this often during the period of faults.
    int replicaCrashes = 4;
    int lostJournals = 3;
    int nodeCrashes = 3;
    int partitions = 3;
};

class ledger_simulation
{
public:
    ledger_simulation(const simulation_settings &settings, std::uint64_t seed);

    // Runs a period of faults, then a period without faults, then a request with a new key that
    // must be done, and a resend of it.
    void run();

    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

    std::size_t executionCount() const
    {
        return m_executions;
    }

    std::size_t answerCount(caller_outcome outcome) const
    {
        const auto found = m_answers.find(outcome);
        return found == m_answers.end() ? 0 : found->second;
    }

private:
    using duration = std::chrono::nanoseconds;

    struct event {
        core::monotonic_time dueAt;
        std::uint64_t order = 0;
        std::function<void()> action;

        friend bool operator>(const event &left, const event &right)
        {
            return std::pair(left.dueAt, left.order) > std::pair(right.dueAt, right.order);
        }
    };

    struct replica_host {
        std::unique_ptr<ledger_replica> stateMachine;
        std::vector<std::string> journal;
        // Increases with each start, so that a sync of an earlier process is not reported.
        std::uint64_t incarnation = 0;
        bool isUp = true;
        duration skew{0};
    };

    struct request {
        core::request_key key;
        std::size_t node = 0;
        core::monotonic_time startedAt;
        std::unique_ptr<key_claim> claim;
        std::optional<caller_outcome> answer;
        bool mustSucceed = false;
    };

    struct key_history {
        std::size_t executions = 0;
        std::optional<std::string> body;
        // The last time at which a caller received the answer that the request was not run.
        std::optional<core::monotonic_time> lastNotRunAt;
    };

    void schedule(core::monotonic_time time, std::function<void()> action);
    std::uint64_t draw(std::uint64_t below);
    bool chance(double probability);
    duration drawDuration(duration maxDuration);
    core::monotonic_time drawFaultTime();
    core::host_name replicaName(std::size_t index) const;
    core::host_name nodeName(std::size_t index) const;
    ledger_time timeAt(const replica_host &host) const;
    bool isPartitioned(const core::host_name &left, const core::host_name &right) const;

    void planFaults();
    void planRequests();
    void startReplica(std::size_t index, journal_start start);
    void crashReplica(std::size_t index, bool loseJournal);
    void crashNode(std::size_t index);
    void partitionHost();
    void perform(std::size_t replica, const replica_effects &effects);
    void performJournal(std::size_t replica,
                        std::uint64_t sequence,
                        std::vector<std::string> records,
                        bool replaces);
    void tickReplicas();

    std::size_t startRequest(const core::request_key &key, std::size_t node);
    void perform(std::size_t request, const claim_effects &effects);
    void runRequest(std::size_t request);
    void execute(std::size_t request);
    void recordAnswer(std::size_t request, const answer_caller &answer);
    void scheduleTick(std::size_t request);
    void
    send(const core::host_name &from, const core::host_name &to, const ledger_message &message);
    void
    deliver(const core::host_name &from, const core::host_name &to, const ledger_message &message);
    void runUntil(core::monotonic_time end);
    void addViolation(const core::request_key &key, const std::string &what);

    simulation_settings m_settings;
    core::random_engine m_engine;
    core::monotonic_time m_now;
    core::monotonic_time m_faultsEnd;
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<replica_host> m_replicas;
    std::vector<request> m_requests;
    std::map<core::request_key, key_history> m_history;
    // Hosts that are currently partitioned from all others.
    std::set<core::host_name> m_partitioned;
    std::vector<std::string> m_violations;
    std::size_t m_executions = 0;
    std::map<caller_outcome, std::size_t> m_answers;
};

} // namespace jackdawweir::ledger
