// Decides the share and the outcome of each move; runs at the source leader. A new leader creates a
// new controller and passes it the committed moves first.
//
//     move_controller controller(controller_settings{});
//     controller.handle(committed_moves{version, states}, now);
//     controller.handle(evidence_batch{collector.takeInterval()}, now);
//     for (const move_effect &effect : controller.handle(controller_tick{wallNow}, now)) { ... }
//
// The new version's share follows a ramp over the time allowed for the move. It reaches all traffic
// at the fraction `evidenceEnd` of that time if evidence supports each step, and at `timeEnd` if
// the traffic is too low to provide evidence.
//
// While a decision on the new version is near, the controller may raise the share for a short time
// to get the missing evidence sooner: a closer look. While a version is suspect, its share is zero
// until the old version's responses have been compared: a hold.

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
    // Bounds of the first share: a part of the traffic, and the number of requests that the new
    // version gets during `feedbackTime`, before evidence of them can lead to a decision.
    std::uint32_t startShareBasisPoints = 500;
    double startRequests = 2;
    std::chrono::milliseconds feedbackTime{2000};
    // Correct responses of the new version that double the share that the evidence allows.
    double requestsPerDoubling = 3;
    // The first share requires this many requests to the old version, or that this fraction of the
    // time allowed has passed.
    std::uint64_t baselineRequests = 60;
    double baselineFraction = 0.04;
    // The share during a closer look, in requests per second to the new version, and its upper
    // bound. A decision takes the same few requests at any share, and with this one only seconds.
    double closerLookPerSecond = 1.5;
    std::uint32_t closerLookShareBasisPoints = 5000;
    // If the traffic is below this many requests per second, the share is not raised for a closer
    // look: a decision takes longer than seconds in any case, and the old version would give too
    // few responses to compare. A second trial gets a quarter of the traffic then.
    double closerLookTraffic = 1.5;
    std::uint32_t trialShareBasisPoints = 2500;
    // The maximum share of the new version while both versions show a fault. The rest goes to the
    // old version, so that the comparison can continue.
    std::uint32_t sharedFaultShareBasisPoints = 5000;
    // Fractions of the time allowed at which the ramps reach the whole share.
    double evidenceEnd = 0.75;
    double timeEnd = 0.92;
    // The share is raised by at least this factor, since each step is a committed change.
    double stepFactor = 1.25;
    std::chrono::milliseconds stepInterval{2000};
    // A decision that is not committed within this time is proposed again.
    std::chrono::milliseconds proposalTimeout{2000};
    // The time constant of the exponential decay with which the traffic is measured.
    std::chrono::seconds trafficWindow{30};
    // The slots that the new servers must have to take all traffic, as a multiple of the slots in
    // use. The rest is kept free.
    double slotHeadroom = 1.5;
};

// Input: time has passed. Send every evidenceInterval.
struct controller_tick {
    core::wall_time wallNow;
};

// Effect: submit this decision to agreement. It may be proposed again until committed_moves shows
// its result; the state machine ignores a decision that no longer fits the state.
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
        // The reason that was reported for an open circuit breaker.
        std::optional<std::string> openBreaker;
        // The share before a hold, restored if the suspicion is not confirmed.
        std::optional<std::uint32_t> heldShareBasisPoints;
        // Sums over the traffic window, weighted towards recent values.
        double measuredRequests = 0;
        double measuredBusySeconds = 0;
        double measuredSeconds = 0;
        std::optional<core::monotonic_time> measuredAt;
        std::optional<core::monotonic_time> raisedAt;
        std::optional<core::monotonic_time> proposedAt;
        // True while the share is raised for a closer look; it is lowered afterwards.
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
    decision
    raiseShare(tracked_move &tracked, core::wall_time wallNow, core::monotonic_time now) const;
    double rampShare(const tracked_move &tracked, double elapsedFraction) const;
    // Returns the share for a closer look, or zero if none is needed or the traffic is too low for
    // it.
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
