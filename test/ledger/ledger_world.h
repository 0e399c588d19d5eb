// A model of ledger replicas, nodes and callers on a faulty network, for property tests. Everything
// that happens is drawn from one seed.
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

struct world_settings {
    std::size_t replicas = 3;
    std::size_t nodes = 4;
    std::size_t keys = 12;
    // Requests of each key, the first included, spread over the time of faults.
    std::size_t requestsPerKey = 4;
    std::chrono::milliseconds faultTime{8000};
    double loss = 0.05;
    double duplication = 0.05;
    std::chrono::milliseconds longestDelay{120};
    // Each at most this often during the time of faults.
    int replicaCrashes = 4;
    int lostJournals = 3;
    int nodeCrashes = 3;
    int partitions = 3;
};

class ledger_world
{
public:
    ledger_world(const world_settings &settings, std::uint64_t seed);

    // Runs the time of faults, then a quiet time, then one new key that must be done.
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
        core::monotonic_time at;
        std::uint64_t order = 0;
        std::function<void()> action;

        friend bool operator>(const event &left, const event &right)
        {
            return std::pair(left.at, left.order) > std::pair(right.at, right.order);
        }
    };

    struct replica_host {
        std::unique_ptr<ledger_replica> machine;
        std::vector<std::string> journal;
        // Rises with each start, so that a sync of an earlier start is not reported.
        std::uint64_t life = 0;
        bool isUp = true;
        duration skew{0};
    };

    struct request {
        core::request_key key;
        std::size_t node = 0;
        core::monotonic_time startedAt;
        std::unique_ptr<key_claim> claim;
        std::optional<caller_outcome> answer;
        bool isLast = false;
    };

    struct key_history {
        std::size_t executions = 0;
        std::optional<std::string> body;
        // The last time at which a caller was told that the request was not run.
        std::optional<core::monotonic_time> toldNotRun;
    };

    void at(core::monotonic_time time, std::function<void()> action);
    std::uint64_t draw(std::uint64_t below);
    bool chance(double part);
    duration drawDuration(duration most);
    core::monotonic_time drawFaultTime();
    core::host_name replicaName(std::size_t index) const;
    core::host_name nodeName(std::size_t index) const;
    ledger_time timeAt(const replica_host &host) const;
    bool isCut(const core::host_name &left, const core::host_name &right) const;

    void planFaults();
    void planRequests();
    void startReplica(std::size_t index, journal_start start);
    void crashReplica(std::size_t index, bool loseJournal);
    void crashNode(std::size_t index);
    void partition();
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
    void takeAnswer(std::size_t request, const answer_caller &answer);
    void scheduleTick(std::size_t request);
    void
    send(const core::host_name &from, const core::host_name &to, const ledger_message &message);
    void
    deliver(const core::host_name &from, const core::host_name &to, const ledger_message &message);
    void runUntil(core::monotonic_time end);
    void fail(const core::request_key &key, const std::string &what);

    world_settings m_settings;
    core::random_engine m_engine;
    core::monotonic_time m_now;
    core::monotonic_time m_faultsEnd;
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<replica_host> m_replicas;
    std::vector<request> m_requests;
    std::map<core::request_key, key_history> m_history;
    // Hosts that can't reach the others now.
    std::set<core::host_name> m_cut;
    std::vector<std::string> m_violations;
    std::size_t m_executions = 0;
    std::map<caller_outcome, std::size_t> m_answers;
};

} // namespace jackdawweir::ledger
