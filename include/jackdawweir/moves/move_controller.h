// Decides the moves at the source leader. A new leader starts with a new controller, to which it
// gives the committed moves first.
//
//     move_controller controller(controller_settings{});
//     controller.handle(committed_moves{version, states}, now);
//     controller.handle(evidence_batch{collector.takeInterval()}, now);
//     for (const move_effect &effect : controller.handle(controller_tick{wallNow}, now)) { ... }
//
// The share follows a ramp derived from the time left. It reaches the whole at `evidenceEnd` of the
// time allowed where evidence supports each step, and at `timeEnd` where traffic is too low to
// give any.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/document/move_state.h"
#include "jackdawweir/moves/messages.h"
#include "jackdawweir/moves/sequential_test.h"

namespace jackdawweir::moves {

struct controller_settings {
    comparison_settings comparison;
    // Bounds of the first share, in percent of the traffic and in requests sent to the new version
    // until evidence of them can lead to a decision.
    std::uint32_t startShareBasisPoints = 500;
    double startRequests = 2;
    std::chrono::milliseconds feedbackTime{2000};
    // Correct responses of the new version that double the share evidence allows.
    double requestsPerDoubling = 3;
    // Requests of the old version before the first share, or the part of the time allowed that is
    // waited for them.
    std::uint64_t baselineRequests = 60;
    double baselinePart = 0.04;
    // The share while a decision is near, in requests of the new version per second and at most in
    // percent: a decision takes the same few requests at any share, at this one within seconds.
    double closerLookPerSecond = 1.5;
    std::uint32_t closerLookShareBasisPoints = 5000;
    // Below this traffic in requests per second the share is not raised for a closer look, since a
    // decision takes longer than seconds in any case and the old version's answers would be too
    // few, and a second trial gets a quarter of the traffic.
    double closerLookTraffic = 1.5;
    std::uint32_t trialShareBasisPoints = 2500;
    // Most of the traffic that the new version gets while both versions show a fault; the rest
    // keeps the comparison going.
    std::uint32_t sharedFaultShareBasisPoints = 5000;
    // Parts of the time allowed at which the ramps reach the whole share.
    double evidenceEnd = 0.75;
    double timeEnd = 0.92;
    // Shares are raised in steps of at least this factor, each of which is a committed change.
    double stepFactor = 1.25;
    std::chrono::milliseconds stepInterval{2000};
    // A decision is proposed again when it is not committed within this time.
    std::chrono::milliseconds proposalTimeout{2000};
    // The traffic is measured over about this time.
    std::chrono::seconds trafficWindow{30};
    // Slots kept free on the new servers, as a factor of the slots in use.
    double slotHeadroom = 1.5;
};

// Input: time has passed. Send every evidenceInterval.
struct controller_tick {
    core::wall_time wallNow;
};

// Effect: submit this decision to agreement. It may be repeated until committed_moves shows its
// result; the state machine ignores a decision that no longer fits the state.
struct propose_decision {
    document::move_decision decision;
};

using move_input = std::
    variant<committed_moves, evidence_batch, announced_slots, breaker_report, controller_tick>;
using move_effect = std::variant<propose_decision>;

class move_controller
{
public:
    explicit move_controller(controller_settings settings);

    std::vector<move_effect> handle(const move_input &input, core::monotonic_time now);

private:
    struct tracked_move {
        tracked_move(document::move_state committed, const comparison_settings &settings);

        double requestsPerSecond() const;
        double slotsInUse() const;

        document::move_state state;
        version_comparison comparison;
        // The reason of a circuit breaker that is open somewhere.
        std::optional<std::string> openBreaker;
        // The share that is taken up again when a suspicion proves wrong.
        std::optional<std::uint32_t> heldShareBasisPoints;
        // Sums over the traffic window, recent ones counted more.
        double measuredRequests = 0;
        double measuredBusySeconds = 0;
        double measuredSeconds = 0;
        std::optional<core::monotonic_time> measuredAt;
        std::optional<core::monotonic_time> raisedAt;
        std::optional<core::monotonic_time> proposedAt;
        // The share was raised for a closer look and is lowered after it.
        bool isCloserLook = false;
    };

    using decision = std::optional<document::move_decision>;

    void apply(const committed_moves &input);
    void apply(const evidence_batch &input, core::monotonic_time now);
    void apply(const breaker_report &input);
    std::vector<move_effect> apply(const controller_tick &input, core::monotonic_time now);

    decision decide(tracked_move &tracked, core::wall_time wallNow, core::monotonic_time now) const;
    decision
    decideRunning(tracked_move &tracked, core::wall_time wallNow, core::monotonic_time now) const;
    decision decideDone(tracked_move &tracked) const;
    decision raise(tracked_move &tracked, core::wall_time wallNow, core::monotonic_time now) const;
    double rampShare(const tracked_move &tracked, double elapsedPart) const;
    // Returns zero where no closer look is needed or worth it.
    double closerLookShare(const tracked_move &tracked) const;
    double startShare(const tracked_move &tracked) const;
    double slotShare(const tracked_move &tracked, double headroom) const;
    std::uint64_t slotsOf(const core::service_name &service,
                          const core::version_name &version) const;

    controller_settings m_settings;
    core::config_version m_version;
    std::map<std::uint64_t, tracked_move> m_moves;
    std::map<std::pair<core::service_name, core::version_name>, std::uint64_t> m_slots;
};

} // namespace jackdawweir::moves
