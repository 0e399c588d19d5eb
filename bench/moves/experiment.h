// Runs one move with a given seed under one policy and measures its outcome.
//
//     const move_outcome outcome = runMove<guarded_move>(scenario::BadLater, options, seed);

#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "bench/moves/baselines.h"
#include "bench/moves/fake_servers.h"
#include "bench/moves/guarded_move.h"
#include "bench/moves/scenario.h"

namespace jackdawweir::bench {

struct experiment_options {
    double callsPerMinute = 200;
    // Seconds from acceptance to the completion time.
    double window = 1800;
    // Seconds for which the simulation continues after the completion time.
    double watchAfter = 600;
    // The failure rate of a bad version is drawn between this value and one.
    double leastFaultRate = 0.3;
};

struct move_outcome {
    bool wasDoneInTime = false;
    bool wasReverted = false;
    bool wasBad = false;
    double calls = 0;
    double callsToNew = 0;
    // Calls that the new version received while it was bad, and how many of their responses were
    // faulty.
    double callsToBad = 0;
    double faultyResponses = 0;
    // Calls to the bad version before the first one with a faulty response.
    double callsBeforeFirstFault = 0;
    // Seconds from the first faulty response to the last call to the new version; negative without
    // a fault.
    double secondsToNoTraffic = -1;
    std::string reason;
};

namespace internal {

constexpr double tickSeconds = 0.25;

struct pending_response {
    fake_call call;
    bool isNew = false;
    fake_response response;
};

// Keeps each response until its latency has passed.
class response_queue
{
public:
    void push(const pending_response &response)
    {
        const std::chrono::duration<double> latency = response.response.seen.latency;
        const auto ticks = static_cast<std::size_t>(latency.count() / tickSeconds);
        m_slots[(m_currentSlot + std::min(ticks, m_slots.size() - 1)) % m_slots.size()].push_back(
            response);
    }

    std::vector<pending_response> takeDue()
    {
        std::vector<pending_response> taken = std::move(m_slots[m_currentSlot]);
        m_slots[m_currentSlot].clear();
        m_currentSlot = (m_currentSlot + 1) % m_slots.size();
        return taken;
    }

private:
    std::array<std::vector<pending_response>, 16> m_slots;
    std::size_t m_currentSlot = 0;
};

inline bool isReverted(const document::move_state &state)
{
    return state.phase == document::move_phase::Reverted
        || state.phase == document::move_phase::RevertedAfterDone;
}

} // namespace internal

template<typename Policy>
move_outcome runMove(scenario kind, const experiment_options &options, std::uint64_t seed)
{
    core::random_engine engine(seed);
    const move_setup setup = makeSetup(kind, options.window, options.leastFaultRate, engine);
    fake_servers servers(setup, engine);
    Policy policy(setup, options.window);
    internal::response_queue queue;
    move_outcome outcome;
    double firstFault = -1;
    double lastNew = -1;
    bool becameBad = false;
    const double end = options.window + options.watchAfter;
    for (double seconds = 0; seconds < end; seconds += internal::tickSeconds) {
        const double mean
            = options.callsPerMinute / 60 * internal::tickSeconds * servers.loadFactor(seconds);
        const int calls = std::poisson_distribution<int>(mean)(engine);
        for (int index = 0; index < calls; ++index) {
            const fake_call call = servers.nextCall();
            const double share = policy.share(call);
            const bool isNew = uniform(engine, 0, 1) < share;
            const fake_response response = servers.answer(call, isNew, share, seconds);
            outcome.calls += seconds < options.window ? 1 : 0;
            outcome.callsToNew += isNew ? 1 : 0;
            outcome.callsToBad += response.wasBad ? 1 : 0;
            outcome.faultyResponses += response.isFaulty ? 1 : 0;
            becameBad = becameBad || response.wasBad;
            const bool isFirstFault = response.isFaulty && firstFault < 0;
            if (isFirstFault) {
                firstFault = seconds;
                outcome.callsBeforeFirstFault = outcome.callsToBad - 1;
            }
            lastNew = isNew ? seconds : lastNew;
            queue.push({call, isNew, response});
        }
        for (const internal::pending_response &each : queue.takeDue()) {
            policy.record(each.call, each.isNew, each.response.seen);
        }
        policy.tick(seconds);
        if (seconds < options.window) {
            outcome.wasDoneInTime = policy.committed().phase == document::move_phase::Done;
        }
        // After a rollback nothing changes any more, except in a data centre that is still
        // partitioned.
        if (internal::isReverted(policy.committed()) && seconds > setup.partitionEnd + 60
            && seconds > options.window) {
            break;
        }
    }
    outcome.wasBad = becameBad;
    outcome.wasReverted = internal::isReverted(policy.committed());
    outcome.wasDoneInTime = outcome.wasDoneInTime && !outcome.wasReverted;
    outcome.reason = policy.committed().reason;
    if (firstFault >= 0) {
        outcome.secondsToNoTraffic = std::max(0.0, lastNew - firstFault);
    }
    return outcome;
}

} // namespace jackdawweir::bench
