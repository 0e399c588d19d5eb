#include "jackdawweir/ledger/key_claim.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::ledger {

namespace {

// A refusal counts only if at least this much of its hold remains. An answer `not-run` that is
// given within claimTime of the start then leaves claimTime of the hold, by whose end no attempt
// that started before the answer can still begin to run.
constexpr std::chrono::nanoseconds minRemainingHold = 2 * claimTime;
constexpr std::chrono::nanoseconds maxResendDelay = std::chrono::seconds(2);

static_assert(refusalHold > 2 * claimTime);

recorded_outcome withoutOversizedBody(recorded_outcome outcome)
{
    if (outcome.body.size() > maxRecordedBody) {
        outcome.body.clear();
        outcome.bodyOmitted = true;
    }
    return outcome;
}

} // namespace

key_claim::key_claim(claim_input input, core::random_engine &engine)
    : m_input(std::move(input))
    , m_attempt{engine(), engine()}
{
}

claim_effects key_claim::start(core::monotonic_time now)
{
    m_startedAt = now;
    const bool mayBeResend = m_input.isCallersKey;
    if (m_input.mode == claim_mode::Refuse && !mayBeResend) {
        answer(
            answer_caller{caller_outcome::NotRun, {}, false, "the node has just issued the key"});
        m_state = state::Finished;
        return takeEffects();
    }
    m_pendingReplicas.insert(m_input.replicas.begin(), m_input.replicas.end());
    if (m_input.mode == claim_mode::Run) {
        m_state = state::Claiming;
        m_outstanding = claim_request{m_input.key, m_attempt};
    } else {
        m_state = state::Refusing;
        m_outstanding = refuse_request{m_input.key, m_attempt};
    }
    sendOutstanding(now);
    return takeEffects();
}

claim_effects
key_claim::receive(const core::host_name &from, const key_reply &reply, core::monotonic_time now)
{
    m_now = now;
    const bool isReplica = std::find(m_input.replicas.begin(), m_input.replicas.end(), from)
        != m_input.replicas.end();
    if (!isReplica || reply.key != m_input.key || reply.attempt != m_attempt) {
        return takeEffects();
    }
    const bool isCurrent = learnGenerations(from, reply);
    // A recorded outcome stays true even if the journal that contained it has been lost.
    if (!isCurrent && reply.answer != key_answer::Recorded) {
        return takeEffects();
    }
    const bool isOpen = m_state == state::Claiming || m_state == state::Refusing;
    if (isOpen && !isInTime(now)) {
        endOnTimeout();
    } else if (m_state == state::Claiming) {
        handleClaimReply(from, reply);
    } else if (m_state == state::Refusing) {
        handleRefuseReply(from, reply);
    } else if (m_state == state::Storing) {
        handleStoreReply(from, reply);
    }
    return takeEffects();
}

bool key_claim::learnGenerations(const core::host_name &from, const key_reply &reply)
{
    std::uint64_t &latest = m_generations[from];
    latest = std::max(latest, reply.generation);
    for (const replica_generation &each : reply.others) {
        std::uint64_t &known = m_generations[each.replica];
        known = std::max(known, each.generation);
    }
    if (m_state == state::Claiming || m_state == state::Refusing) {
        dropOutdatedAnswers(m_granted);
        dropOutdatedAnswers(m_refused);
    }
    return reply.generation >= latest;
}

void key_claim::dropOutdatedAnswers(answer_generations &answered)
{
    // The new journal may contradict the answer, so the message is sent to the replica again.
    for (auto each = answered.begin(); each != answered.end();) {
        if (each->second < m_generations[each->first]) {
            m_pendingReplicas.insert(each->first);
            each = answered.erase(each);
        } else {
            ++each;
        }
    }
}

void key_claim::handleClaimReply(const core::host_name &from, const key_reply &reply)
{
    switch (reply.answer) {
    case key_answer::Recorded:
        endWithRecordedOutcome(reply);
        return;
    case key_answer::NotReady:
        return;
    case key_answer::Granted:
        m_granted[from] = reply.generation;
        m_pendingReplicas.erase(from);
        break;
    case key_answer::Refused:
        if (countRefusal(from, reply)) {
            return;
        }
        [[fallthrough]];
    case key_answer::HeldByOther:
    case key_answer::Withdrawn:
    case key_answer::Expired:
        m_denied.insert(from);
        m_pendingReplicas.erase(from);
        break;
    }
    if (m_granted.size() >= majority()) {
        m_state = state::Running;
        m_outstanding.reset();
        m_effects.emplace_back(run_request{m_input.key, m_attempt});
    } else if (isMajorityOutOfReach()) {
        endWithoutRun(caller_outcome::Unknown, "another attempt holds the request key");
    }
}

bool key_claim::countRefusal(const core::host_name &from, const key_reply &reply)
{
    if (reply.remainingHold < minRemainingHold) {
        return false;
    }
    m_refused[from] = reply.generation;
    m_pendingReplicas.erase(from);
    if (m_refused.size() < majority()) {
        return false;
    }
    endWithoutRun(caller_outcome::NotRun, "no attempt of this request was run");
    return true;
}

void key_claim::handleRefuseReply(const core::host_name &from, const key_reply &reply)
{
    switch (reply.answer) {
    case key_answer::Recorded:
        endWithRecordedOutcome(reply);
        return;
    case key_answer::NotReady:
        return;
    case key_answer::Refused:
        if (countRefusal(from, reply)) {
            return;
        }
        if (reply.remainingHold < minRemainingHold) {
            m_denied.insert(from);
        }
        break;
    case key_answer::Granted:
    case key_answer::HeldByOther:
    case key_answer::Withdrawn:
    case key_answer::Expired:
        m_denied.insert(from);
        break;
    }
    m_pendingReplicas.erase(from);
    if (isMajorityOutOfReach()) {
        endWithoutRun(caller_outcome::Unknown, "another attempt may have run the request");
    }
}

void key_claim::handleStoreReply(const core::host_name &from, const key_reply &reply)
{
    if (reply.answer == key_answer::NotReady) {
        return;
    }
    // A late reply to the claim does not confirm the message that is being stored.
    const bool isStored = std::holds_alternative<record_request>(*m_outstanding)
        ? reply.answer == key_answer::Recorded
        : reply.answer != key_answer::Granted;
    if (!isStored && reply.answer != key_answer::Expired) {
        return;
    }
    m_pendingReplicas.erase(from);
    if (m_pendingReplicas.empty()) {
        m_state = state::Finished;
    }
}

claim_effects key_claim::runFinished(const run_result &result, core::monotonic_time now)
{
    if (m_state != state::Running) {
        return takeEffects();
    }
    m_now = now;
    const std::set<core::host_name> all(m_input.replicas.begin(), m_input.replicas.end());
    switch (result.outcome) {
    case caller_outcome::Done:
        answer(answer_caller{caller_outcome::Done, result.response, true, ""});
        store(record_request{m_input.key, m_attempt, withoutOversizedBody(result.response)},
              all,
              now);
        break;
    case caller_outcome::NotRun:
        // No other attempt can get a majority while this one holds its grants, so the caller is
        // answered at once; the refusal then replaces the grants.
        answer(
            answer_caller{caller_outcome::NotRun, {}, true, "no backend server took the request"});
        store(refuse_request{m_input.key, m_attempt}, all, now);
        break;
    case caller_outcome::Unknown:
        answer(answer_caller{caller_outcome::Unknown, {}, true, "the request may have run"});
        m_state = state::Finished;
        break;
    }
    return takeEffects();
}

claim_effects key_claim::callerDisconnected(core::monotonic_time now)
{
    m_now = now;
    m_isAnswered = true;
    if (m_state == state::Claiming || m_state == state::Refusing) {
        endWithoutRun(caller_outcome::Unknown, "the caller has gone");
    }
    return takeEffects();
}

claim_effects key_claim::tick(core::monotonic_time now)
{
    m_now = now;
    const bool isOpen = m_state == state::Claiming || m_state == state::Refusing;
    if (isOpen && !isInTime(now)) {
        endOnTimeout();
    } else if (m_state == state::Storing && now >= m_storeUntil) {
        m_state = state::Finished;
    } else if (m_outstanding && m_state != state::Finished && now >= m_resendAt) {
        sendOutstanding(now);
    }
    return takeEffects();
}

void key_claim::endOnTimeout()
{
    // No other attempt can hold a key that this node has just issued.
    const caller_outcome outcome
        = m_input.isCallersKey ? caller_outcome::Unknown : caller_outcome::NotRun;
    endWithoutRun(outcome, "no majority of ledger replicas answered in time");
}

void key_claim::endWithRecordedOutcome(const key_reply &reply)
{
    answer(answer_caller{caller_outcome::Done, reply.outcome, false, "recorded outcome"});
    endWithoutRun(caller_outcome::Done, "");
}

void key_claim::endWithoutRun(caller_outcome outcome, const std::string &reason)
{
    answer(answer_caller{outcome, {}, false, reason});
    if (m_state == state::Refusing) {
        // Refusals that were stored expire without a release.
        m_state = state::Finished;
        return;
    }
    // Replicas that have not answered may still receive the claim.
    std::set<core::host_name> holders = m_pendingReplicas;
    for (const auto &[host, generation] : m_granted) {
        holders.insert(host);
    }
    store(release_request{m_input.key, m_attempt}, holders, m_now);
}

void key_claim::answer(const answer_caller &effect)
{
    if (!std::exchange(m_isAnswered, true)) {
        m_effects.emplace_back(effect);
    }
}

void key_claim::store(ledger_message message,
                      std::set<core::host_name> to,
                      core::monotonic_time now)
{
    m_outstanding = std::move(message);
    m_pendingReplicas = std::move(to);
    m_state = m_pendingReplicas.empty() ? state::Finished : state::Storing;
    m_storeUntil = now + recordTime;
    m_resendDelay = claimResend;
    sendOutstanding(now);
}

void key_claim::sendOutstanding(core::monotonic_time now)
{
    m_resendAt = now + m_resendDelay;
    if (m_state == state::Storing) {
        m_resendDelay = std::min(2 * m_resendDelay, maxResendDelay);
    }
    for (const core::host_name &each : m_pendingReplicas) {
        m_effects.emplace_back(send_message{each, *m_outstanding});
    }
}

std::size_t key_claim::majority() const
{
    return m_input.replicas.size() / 2 + 1;
}

bool key_claim::isMajorityOutOfReach() const
{
    return m_input.replicas.size() - m_denied.size() < majority();
}

bool key_claim::isInTime(core::monotonic_time now) const
{
    return now - m_startedAt < claimTime;
}

std::optional<core::monotonic_time> key_claim::nextDeadline() const
{
    switch (m_state) {
    case state::Claiming:
    case state::Refusing:
        return std::min<core::monotonic_time>(m_resendAt, m_startedAt + claimTime);
    case state::Storing:
        return std::min(m_resendAt, m_storeUntil);
    case state::Created:
    case state::Running:
    case state::Finished:
        return std::nullopt;
    }
    return std::nullopt;
}

bool key_claim::isFinished() const
{
    return m_state == state::Finished;
}

const attempt_id &key_claim::attempt() const
{
    return m_attempt;
}

claim_effects key_claim::takeEffects()
{
    return std::exchange(m_effects, {});
}

} // namespace jackdawweir::ledger
