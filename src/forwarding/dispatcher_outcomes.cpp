// The part of dispatcher that handles the answers of nodes, decides on further attempts and ends
// requests.

#include <algorithm>
#include <random>
#include <utility>

#include "forwarding/dispatcher_state.h"
#include "jackdawweir/http/status.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

void dispatcher::handle(const core::endpoint &peer, forward_answer answer, core::monotonic_time now)
{
    noteReceived(peer, now);
    const auto found = m_attempts.find(answer.number);
    if (found == m_attempts.end() || found->second->serverOf(answer.number).peer != peer) {
        return;
    }
    const open_pointer open = found->second;
    m_loadBalancer.ended(
        open->serverOf(answer.number).instance, open->route->name, answer.load, now);
    if (answer.load.slots > 0) {
        m_downstream.record(open->route->name, answer.load.downstream, now);
    }
    if (open->isSilent(answer.number)) {
        handleSilentAnswer(open, std::move(answer), now);
        return;
    }
    endAttempt(*open);
    switch (answer.outcome) {
    case forward_outcome::Answered:
        handleAnswered(open, std::move(answer), now);
        break;
    case forward_outcome::NotRun:
        handleNotRun(open, answer, now);
        break;
    case forward_outcome::Unknown:
        handleUnknown(open, answer.reason, now);
        break;
    }
}

void dispatcher::handleAnswered(const open_pointer &open,
                                forward_answer answer,
                                core::monotonic_time now)
{
    const bool isFailure = http::status::isServerError(answer.status);
    open->mayHaveRun = true;
    m_loadBalancer.recordAdmission(open->server.instance, true, now);
    countVersion(*open, isFailure, now);
    http::response received{
        answer.status, std::move(answer.headers), std::move(answer.body), false};
    if (isFailure && resumeSilent(*open, now)) {
        open->failure = std::move(received);
        return;
    }
    // Another run would make its calls again, which a full service refuses again.
    const bool mayRunAgain = !m_downstream.isShort(open->route->name, now);
    if (isFailure && mayRunAgain && mayRetry(*open, now)) {
        open->failure = std::move(received);
        attempt(open, now);
        return;
    }
    caller_answer final;
    final.outcome = caller_outcome::Answered;
    final.response = std::move(received);
    finish(open, std::move(final), now);
}

void dispatcher::handleNotRun(const open_pointer &open,
                              const forward_answer &answer,
                              core::monotonic_time now)
{
    const auto wait = std::chrono::duration_cast<milliseconds>(answer.retryAfter);
    bool mayGoOn = false;
    switch (answer.reason) {
    case forward_reason::ServerGone:
    case forward_reason::Draining:
        --open->attempts;
        m_loadBalancer.markUnavailable(open->server.instance, now);
        mayGoOn = ++open->unavailableServers < m_settings.maxUnavailableServers;
        break;
    case forward_reason::Recalled:
        --open->attempts;
        break;
    case forward_reason::Evacuated:
        // The node beside the server has a newer view than this one.
        --open->attempts;
        m_loadBalancer.markDataCentreUnavailable(open->server.instance, now);
        mayGoOn = ++open->unavailableServers < m_settings.maxUnavailableServers;
        break;
    case forward_reason::Cold:
        --open->attempts;
        open->slotFreeAfter = std::min(open->slotFreeAfter.value_or(wait), wait);
        ++open->coldRefusals;
        mayGoOn = ++open->unavailableServers < m_settings.maxUnavailableServers;
        break;
    case forward_reason::Slow:
        // Says nothing about the room in the server's data centre.
        --open->attempts;
        mayGoOn = ++open->fullNodes < m_settings.maxFullNodes;
        break;
    case forward_reason::Rejected:
        // The request reached the server, so sending it to the next one counts as a retry.
        mayGoOn = mayRetry(*open, now);
        break;
    default:
        --open->attempts;
        m_loadBalancer.recordAdmission(open->server.instance, false, now);
        open->slotFreeAfter = std::min(open->slotFreeAfter.value_or(wait), wait);
        mayGoOn = ++open->fullNodes < m_settings.maxFullNodes;
        break;
    }
    if (mayGoOn) {
        attempt(open, now);
    } else {
        finishNotRun(open, answer.reason, now);
    }
}

void dispatcher::handleUnknown(const open_pointer &open,
                               forward_reason reason,
                               core::monotonic_time now)
{
    countVersion(*open, true, now);
    open->mayHaveRun = true;
    open->unknownReason = reason;
    if (mayRetry(*open, now)) {
        attempt(open, now);
        return;
    }
    finishNotRun(open, reason, now);
}

// Returns true if the request may be sent to one more server, and takes a retry from the budget.
bool dispatcher::mayRetry(open_request &open, core::monotonic_time now)
{
    const bool isSafe = open.isIdempotent() || !open.mayHaveRun;
    if (!isSafe || m_isRecalled || open.attempts >= open.route->maxAttempts
        || now + m_settings.minAttemptTime >= open.deadline) {
        return false;
    }
    if (!m_retryBudgets.at(open.service).tryTake(now, m_loadBalancer.hostCount())) {
        return false;
    }
    if (open.mayHaveRun) {
        chargeRepeat(open, now);
    }
    return true;
}

// Ends a request that can't be sent to a further server, with the outcome that is known of it.
void dispatcher::finishNotRun(const open_pointer &open,
                              forward_reason reason,
                              core::monotonic_time now)
{
    if (resumeSilent(*open, now)) {
        return;
    }
    caller_answer answer;
    answer.reason = reason;
    if (open->failure) {
        answer.outcome = caller_outcome::Answered;
        answer.response = *open->failure;
    } else if (open->mayHaveRun) {
        answer.outcome = now >= open->deadline ? caller_outcome::TimedOut : caller_outcome::Unknown;
        answer.reason = open->unknownReason;
    } else {
        answer.outcome = caller_outcome::NotRun;
        const milliseconds delay = open->slotFreeAfter.value_or(m_settings.startupRetryAfter);
        // Jitter over the time in which slots become free, so that refused callers don't all retry
        // at the same time.
        std::uniform_real_distribution<double> spread(0.75, 1.5);
        const auto varied = milliseconds(
            static_cast<std::int64_t>(static_cast<double>(delay.count()) * spread(m_engine)));
        answer.retryAfter = std::clamp(varied, m_settings.minRetryAfter, m_settings.maxRetryAfter);
    }
    finish(open, std::move(answer), now);
}

void dispatcher::finish(const open_pointer &open, caller_answer answer, core::monotonic_time now)
{
    if (open->attemptNumber != 0) {
        endAttempt(*open);
    }
    abandonSilent(*open);
    if (m_open.erase(open->number) == 0) {
        return;
    }
    releaseQuota(*open, answer.outcome, now);
    answer.route = open->route == nullptr ? core::route_name{} : open->route->name;
    answer.workspace = open->workspace;
    answer.fullService = open->fullService;
    recordCall(*open, answer, now);
    answer.instance = open->server.instance;
    answer.attempts = open->attempts;
    answer.refusals = open->fullNodes + open->unavailableServers;
    answer.revision = m_view.revision;
    answer.knownHosts = m_loadBalancer.hostCount();
    answer.elapsed = now - open->begunAt;
    const answer_handler handler = std::move(open->handler);
    handler(answer);
}

} // namespace jackdawweir::forwarding
