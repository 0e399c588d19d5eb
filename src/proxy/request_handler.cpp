#include "jackdawweir/proxy/request_handler.h"

#include <utility>
#include <variant>

#include "jackdawweir/request/headers.h"
#include "proxy/request_run.h"

namespace jackdawweir::proxy {

namespace {

using internal::request_run;
using internal::request_run_result;
using request::request_outcome;

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusNotRun = 503;
constexpr unsigned statusUnknown = 504;

// The response to a caller, with the request's outcome for the metrics.
struct caller_response {
    request_outcome outcome = request_outcome::Unknown;
    http_response response;
};

http_header outcomeHeader(request_outcome outcome)
{
    return {request::outcomeHeader, request::toString(outcome)};
}

caller_response refuse(unsigned status, request_outcome outcome, const std::string &reason)
{
    caller_response refused{outcome, http_response{status, {}, reason + "\n"}};
    refused.response.headers.push_back(outcomeHeader(outcome));
    refused.response.headers.push_back({request::reasonHeader, reason});
    return refused;
}

caller_response refuse(request_outcome outcome, const std::string &reason)
{
    return refuse(
        outcome == request_outcome::NotRun ? statusNotRun : statusUnknown, outcome, reason);
}

caller_response forward(http_response received)
{
    caller_response forwarded{request_outcome::Done, http_response{received.status, {}, {}}};
    for (http_header &each : received.headers) {
        if (!isHopByHopHeader(each.name) && each.name != request::outcomeHeader) {
            forwarded.response.headers.push_back(std::move(each));
        }
    }
    forwarded.response.headers.push_back(outcomeHeader(request_outcome::Done));
    forwarded.response.body = std::move(received.body);
    return forwarded;
}

caller_response makeResponse(request_run_result finalAttempt)
{
    if (finalAttempt.attemptOutcome.forwardResponse) {
        return forward(std::move(finalAttempt.response));
    }
    caller_response refused = refuse(finalAttempt.attemptOutcome.outcome, finalAttempt.reason);
    refused.response.headers.push_back(
        {request::originHeader, request::toString(finalAttempt.attemptOutcome.origin)});
    return refused;
}

request_outcome outcomeOf(ledger::caller_outcome outcome)
{
    switch (outcome) {
    case ledger::caller_outcome::Done:
        return request_outcome::Done;
    case ledger::caller_outcome::NotRun:
        return request_outcome::NotRun;
    case ledger::caller_outcome::Unknown:
        return request_outcome::Unknown;
    }
    return request_outcome::Unknown;
}

// Makes the response to a caller whose request the ledger decided without a run.
caller_response makeResponse(const ledger::answer_caller &decided)
{
    if (decided.outcome != ledger::caller_outcome::Done) {
        return refuse(outcomeOf(decided.outcome), decided.reason);
    }
    http_response recorded;
    recorded.status = static_cast<unsigned>(decided.response.status);
    recorded.body = decided.response.body;
    if (!decided.response.contentType.empty()) {
        recorded.headers.push_back({"Content-Type", decided.response.contentType});
    }
    if (decided.response.bodyOmitted) {
        recorded.headers.push_back(
            {request::reasonHeader, "the recorded response is without its body"});
    }
    return forward(std::move(recorded));
}

ledger::run_result resultOf(const request_run_result &finalAttempt)
{
    ledger::run_result result;
    switch (finalAttempt.attemptOutcome.outcome) {
    case request_outcome::Done:
        result.outcome = ledger::caller_outcome::Done;
        break;
    case request_outcome::NotRun:
        result.outcome = ledger::caller_outcome::NotRun;
        break;
    case request_outcome::Unknown:
        result.outcome = ledger::caller_outcome::Unknown;
        break;
    }
    result.response.status = static_cast<std::int32_t>(finalAttempt.response.status);
    result.response.contentType
        = findHeader(finalAttempt.response.headers, "Content-Type").value_or("");
    result.response.bodyOmitted = finalAttempt.response.body.size() > ledger::maxRecordedBody;
    if (!result.response.bodyOmitted) {
        result.response.body = finalAttempt.response.body;
    }
    return result;
}

caller_response runIdempotent(request_run &run)
{
    std::string reason;
    if (!run.admit(reason)) {
        return refuse(request_outcome::NotRun, reason);
    }
    return makeResponse(run.run(core::request_key{}));
}

caller_response
runNonIdempotent(request_run &run, key_ledger &ledger, const core::request_key &callersKey)
{
    std::string reason;
    // A request with a caller's key may have run before. Only the ledger can decide that it did
    // not, so a shed request still claims its key.
    const bool admitted = run.admit(reason);
    const ledger::claim_mode mode = admitted ? ledger::claim_mode::Run : ledger::claim_mode::Refuse;
    const claim_decision decision = ledger.claim(callersKey, mode);
    if (const auto *decided = std::get_if<ledger::answer_caller>(&decision)) {
        return makeResponse(*decided);
    }
    const auto &permit = std::get<run_permit>(decision);
    request_run_result finalAttempt = run.run(permit.key);
    const ledger::answer_caller finished = ledger.finish(permit, resultOf(finalAttempt));
    if (finished.isOwnRun || finished.outcome == ledger::caller_outcome::Done) {
        return makeResponse(std::move(finalAttempt));
    }
    return refuse(outcomeOf(finished.outcome),
                  finalAttempt.reason.empty() ? finished.reason : finalAttempt.reason);
}

internal::thread_state &threadState()
{
    thread_local internal::thread_state state;
    return state;
}

observe::request_outcome metricOf(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::Done:
        return observe::request_outcome::Done;
    case request_outcome::NotRun:
        return observe::request_outcome::NotRun;
    case request_outcome::Unknown:
        return observe::request_outcome::Unknown;
    }
    return observe::request_outcome::Unknown;
}

} // namespace

request_handler::request_handler(const rcu_cell<routing_state> &routing,
                                 key_ledger &ledger,
                                 observe::metrics &nodeMetrics,
                                 attempt_observer observer,
                                 const core::clock &clock)
    : m_routing(routing)
    , m_ledger(ledger)
    , m_metrics(nodeMetrics)
    , m_observer(std::move(observer))
    , m_clock(clock)
{
}

http_response request_handler::handle(const http_request &received)
{
    const core::monotonic_time startedAt = m_clock.monotonicNow();
    const std::shared_ptr<const routing_state> state = m_routing.load();
    const core::request_key key{
        findHeader(received.headers, request::requestKeyHeader).value_or("")};
    if (state == nullptr || !state->refusal.empty()) {
        // The kind of the request is unknown without a route, and a request with a key may have run
        // elsewhere.
        const request_outcome outcome
            = key.empty() ? request_outcome::NotRun : request_outcome::Unknown;
        return refuse(outcome, state == nullptr ? "no configuration yet" : state->refusal).response;
    }
    const document::route *route = state->routes->find(received.target);
    if (route == nullptr) {
        return refuse(statusNotFound, request_outcome::NotRun, "no route for this path").response;
    }
    const bool isIdempotent = route->contract.kind == document::request_kind::Idempotent;
    if (!isIdempotent && !key.empty() && core::errorIn(ledger::issueTimeOf(key)) != nullptr) {
        return refuse(statusBadRequest, request_outcome::NotRun, "malformed request key").response;
    }
    request_run run(received, *state, *route, m_observer, m_clock, threadState());
    caller_response reply
        = isIdempotent ? runIdempotent(run) : runNonIdempotent(run, m_ledger, key);
    m_metrics.countRequest(route->contract.kind, metricOf(reply.outcome));
    m_metrics.observeAddedTime(m_clock.monotonicNow() - startedAt - run.upstreamTime());
    return std::move(reply.response);
}

} // namespace jackdawweir::proxy
