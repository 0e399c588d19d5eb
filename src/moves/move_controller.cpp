#include "jackdawweir/moves/move_controller.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace jackdawweir::moves {

namespace {

using document::move_decision;
using document::move_phase;
using document::move_state;

constexpr double wholeShare = document::wholeShareBasisPoints;

double secondsOf(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

// Returns the elapsed fraction of the time allowed; it is at least 1 from the completion time on.
double elapsedFractionOf(const move_state &state, core::wall_time wallNow)
{
    const double allowed = secondsOf(state.request.doneBy - state.acceptedAt);
    const double elapsed = secondsOf(wallNow - state.acceptedAt);
    return allowed <= 0 ? 1.0 : std::max(0.0, elapsed / allowed);
}

move_decision
decisionFor(const move_state &state, move_phase phase, std::uint32_t share, std::string reason)
{
    return {state.id, state.phase, state.newShareBasisPoints, phase, share, std::move(reason)};
}

bool isEnded(const move_state &state)
{
    return state.phase != move_phase::Running && state.phase != move_phase::Done;
}

} // namespace

move_controller::tracked_move::tracked_move(document::move_state committed,
                                            const comparison_settings &settings)
    : state(std::move(committed))
    , comparison(settings)
{
}

double move_controller::tracked_move::requestsPerSecond() const
{
    return measuredSeconds > 0 ? measuredRequests / measuredSeconds : 0;
}

double move_controller::tracked_move::slotsInUse() const
{
    return measuredSeconds > 0 ? measuredBusySeconds / measuredSeconds : 0;
}

move_controller::move_controller(controller_settings settings)
    : m_settings(settings)
{
}

std::vector<move_effect> move_controller::handle(const move_input &input, core::monotonic_time now)
{
    if (const auto *committed = std::get_if<committed_moves>(&input)) {
        apply(*committed);
    } else if (const auto *batch = std::get_if<evidence_batch>(&input)) {
        apply(*batch, now);
    } else if (const auto *slots = std::get_if<announced_slots>(&input)) {
        m_slots[{slots->service, slots->version}] = slots->slots;
    } else if (const auto *report = std::get_if<breaker_report>(&input)) {
        apply(*report);
    } else if (const auto *tick = std::get_if<controller_tick>(&input)) {
        return apply(*tick, now);
    }
    return {};
}

void move_controller::apply(const committed_moves &input)
{
    if (input.version < m_version) {
        return;
    }
    m_version = input.version;
    std::map<std::uint64_t, tracked_move> activeMoves;
    for (const move_state &state : input.moves) {
        if (isEnded(state)) {
            continue;
        }
        const auto found = m_moves.find(state.id);
        if (found == m_moves.end()) {
            activeMoves.emplace(state.id, tracked_move(state, m_settings.comparison));
            continue;
        }
        tracked_move &tracked = found->second;
        if (tracked.state != state) {
            tracked.state = state;
            tracked.proposedAt.reset();
        }
        activeMoves.emplace(state.id, std::move(tracked));
    }
    m_moves = std::move(activeMoves);
}

void move_controller::apply(const evidence_batch &input, core::monotonic_time now)
{
    for (auto &[id, tracked] : m_moves) {
        const document::move_request &request = tracked.state.request;
        const std::vector<stratum_sample> samples
            = samplesOf(input.cells, request.service, request.from, request.to);
        tracked.comparison.add(samples, now);
        double requests = 0;
        std::chrono::nanoseconds busy{0};
        for (const stratum_sample &sample : samples) {
            requests
                += static_cast<double>(sample.oldVersion.requests + sample.newVersion.requests);
            busy += sample.oldVersion.busy + sample.newVersion.busy;
        }
        const double elapsed = tracked.measuredAt ? secondsOf(now - *tracked.measuredAt) : 0;
        tracked.measuredAt = now;
        if (elapsed <= 0) {
            continue;
        }
        const double decayFactor = std::exp(-elapsed / secondsOf(m_settings.trafficWindow));
        tracked.measuredRequests = tracked.measuredRequests * decayFactor + requests;
        tracked.measuredBusySeconds = tracked.measuredBusySeconds * decayFactor + secondsOf(busy);
        tracked.measuredSeconds = tracked.measuredSeconds * decayFactor + elapsed;
    }
}

void move_controller::apply(const breaker_report &input)
{
    const auto found = m_moves.find(input.moveId);
    if (found != m_moves.end() && !found->second.openBreaker) {
        found->second.openBreaker
            = absl::StrCat("circuit breaker open in ", input.dataCentre.value, ": ", input.reason);
    }
}

std::vector<move_effect> move_controller::apply(const controller_tick &input,
                                                core::monotonic_time now)
{
    std::vector<move_effect> effects;
    for (auto &[id, tracked] : m_moves) {
        if (tracked.proposedAt && now - *tracked.proposedAt < m_settings.proposalTimeout) {
            continue;
        }
        if (decision made = decide(tracked, input.wallNow, now)) {
            tracked.proposedAt = now;
            effects.emplace_back(propose_decision{std::move(*made)});
        }
    }
    return effects;
}

move_controller::decision move_controller::decide(tracked_move &tracked,
                                                  core::wall_time wallNow,
                                                  core::monotonic_time now) const
{
    return tracked.state.phase == move_phase::Done ? decideDone(tracked)
                                                   : decideRunning(tracked, wallNow, now);
}

move_controller::decision move_controller::decideDone(tracked_move &tracked) const
{
    const move_state &state = tracked.state;
    if (slotsOf(state.request.service, state.request.from) == 0) {
        return std::nullopt; // No server of the old version is left to return the traffic to.
    }
    if (tracked.openBreaker) {
        return decisionFor(state, move_phase::RevertedAfterDone, 0, *tracked.openBreaker);
    }
    const comparison_verdict verdict = tracked.comparison.verdict();
    if (verdict == comparison_verdict::Bad) {
        return decisionFor(
            state, move_phase::RevertedAfterDone, 0, tracked.comparison.explanation());
    }
    if (verdict == comparison_verdict::Suspect && state.newShareBasisPoints > 0) {
        return decisionFor(state,
                           move_phase::Done,
                           0,
                           absl::StrCat("held to compare: ", tracked.comparison.explanation()));
    }
    const bool isShared = tracked.comparison.isSharedFaultPresent();
    const bool isHeld = state.newShareBasisPoints < document::wholeShareBasisPoints;
    if (verdict != comparison_verdict::Clear || !isHeld) {
        return std::nullopt;
    }
    double share = document::wholeShareBasisPoints;
    const double lookShare = closerLookShare(tracked);
    if (lookShare > 0) {
        share = lookShare;
    } else if (isShared) {
        share = m_settings.sharedFaultShareBasisPoints;
    }
    if (state.newShareBasisPoints < share) {
        return decisionFor(state,
                           move_phase::Done,
                           static_cast<std::uint32_t>(share),
                           isShared ? "the old version has the same faults"
                                    : "tried again after a hold");
    }
    return std::nullopt;
}

move_controller::decision move_controller::decideRunning(tracked_move &tracked,
                                                         core::wall_time wallNow,
                                                         core::monotonic_time now) const
{
    const move_state &state = tracked.state;
    if (tracked.openBreaker) {
        return decisionFor(state, move_phase::Reverted, 0, *tracked.openBreaker);
    }
    const std::string explanation = tracked.comparison.explanation();
    switch (tracked.comparison.verdict()) {
    case comparison_verdict::Bad:
        return decisionFor(state, move_phase::Reverted, 0, explanation);
    case comparison_verdict::Suspect:
        if (elapsedFractionOf(state, wallNow) >= 1) {
            return decisionFor(state,
                               move_phase::Reverted,
                               0,
                               absl::StrCat("undecided at the completion time: ", explanation));
        }
        if (state.newShareBasisPoints == 0) {
            return std::nullopt;
        }
        tracked.heldShareBasisPoints = tracked.isCloserLook
            ? tracked.heldShareBasisPoints
            : std::optional(state.newShareBasisPoints);
        return decisionFor(
            state, move_phase::Running, 0, absl::StrCat("held to compare: ", explanation));
    case comparison_verdict::Clear:
        return raiseShare(tracked, wallNow, now);
    }
    return std::nullopt;
}

move_controller::decision move_controller::raiseShare(tracked_move &tracked,
                                                      core::wall_time wallNow,
                                                      core::monotonic_time now) const
{
    const move_state &state = tracked.state;
    const double elapsedFraction = elapsedFractionOf(state, wallNow);
    const double slots = slotShare(tracked, m_settings.slotHeadroom);
    const std::uint32_t currentShare = state.newShareBasisPoints;
    double target = rampShare(tracked, elapsedFraction);
    const double held = tracked.heldShareBasisPoints.value_or(0);
    const double lookShare = target > 0 ? closerLookShare(tracked) : 0;
    const bool isCloserLook = lookShare > 0;
    target = std::max(target, isCloserLook ? lookShare : held);
    if (tracked.comparison.isSharedFaultPresent() && elapsedFraction < m_settings.timeEnd) {
        target = std::min<double>(target, m_settings.sharedFaultShareBasisPoints);
    }
    const auto share = static_cast<std::uint32_t>(std::min(target, slots));
    if (elapsedFraction >= 1 && share < document::wholeShareBasisPoints) {
        return decisionFor(state,
                           move_phase::Reverted,
                           0,
                           "too few slots announced by new servers at the completion time");
    }
    // Checked without headroom, so that small changes of the traffic do not lower the share.
    if (slotShare(tracked, 1.0) < currentShare) {
        return decisionFor(
            state, move_phase::Running, std::min(share, currentShare), "fewer slots announced");
    }
    if (tracked.isCloserLook && !isCloserLook && share < currentShare) {
        tracked.isCloserLook = false;
        return decisionFor(state, move_phase::Running, share, "the closer look found no fault");
    }
    const bool isWhole = share == document::wholeShareBasisPoints;
    const bool isStep
        = share > currentShare && (isWhole || share >= currentShare * m_settings.stepFactor);
    const bool isWaiting
        = !isCloserLook && tracked.raisedAt && now - *tracked.raisedAt < m_settings.stepInterval;
    if (isWaiting || !isStep) {
        return std::nullopt;
    }
    tracked.raisedAt = now;
    tracked.isCloserLook = isCloserLook;
    if (!isCloserLook) {
        tracked.heldShareBasisPoints.reset();
    }
    const std::string reason
        = absl::StrCat(isCloserLook ? "closer look at " : "no evidence against ",
                       state.request.to.value,
                       " in ",
                       tracked.comparison.newRequests(),
                       " requests");
    return decisionFor(state, isWhole ? move_phase::Done : move_phase::Running, share, reason);
}

double move_controller::closerLookShare(const tracked_move &tracked) const
{
    if (!tracked.comparison.needsCloserLook()) {
        return 0;
    }
    if (tracked.requestsPerSecond() < m_settings.closerLookTraffic) {
        return tracked.comparison.isSecondTrial() ? m_settings.trialShareBasisPoints : 0;
    }
    const double maxShare = m_settings.closerLookShareBasisPoints;
    return std::min(maxShare,
                    wholeShare * m_settings.closerLookPerSecond / tracked.requestsPerSecond());
}

double move_controller::rampShare(const tracked_move &tracked, double elapsedFraction) const
{
    const bool hasBaseline = tracked.comparison.oldRequests() >= m_settings.baselineRequests
        || elapsedFraction >= m_settings.baselineFraction;
    if (!hasBaseline) {
        return 0;
    }
    const double start = startShare(tracked);
    const auto ramp = [start, elapsedFraction](double end) {
        return wholeShare * std::pow(start, std::max(0.0, 1 - elapsedFraction / end));
    };
    const double doublings
        = static_cast<double>(tracked.comparison.newRequests()) / m_settings.requestsPerDoubling;
    const double supported = wholeShare * start * std::exp2(std::min(doublings, 20.0));
    return std::max(ramp(m_settings.timeEnd), std::min(ramp(m_settings.evidenceEnd), supported));
}

double move_controller::startShare(const tracked_move &tracked) const
{
    constexpr double minShare = 1 / wholeShare;
    const double requests = tracked.requestsPerSecond() * secondsOf(m_settings.feedbackTime);
    const double byPercent = m_settings.startShareBasisPoints / wholeShare;
    const double byRequests = requests > 0 ? m_settings.startRequests / requests : 1;
    return std::max(minShare, std::min(byPercent, byRequests));
}

double move_controller::slotShare(const tracked_move &tracked, double headroom) const
{
    const document::move_request &request = tracked.state.request;
    const auto slots = static_cast<double>(slotsOf(request.service, request.to));
    const double needed = std::max(1.0, tracked.slotsInUse() * headroom);
    return wholeShare * std::min(1.0, slots / needed);
}

std::uint64_t move_controller::slotsOf(const core::service_name &service,
                                       const core::version_name &version) const
{
    const auto found = m_slots.find({service, version});
    return found == m_slots.end() ? 0 : found->second;
}

} // namespace jackdawweir::moves
