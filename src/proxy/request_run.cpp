#include "proxy/request_run.h"

#include <array>
#include <random>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "jackdawweir/request/headers.h"

namespace jackdawweir::proxy::internal {

namespace {

// Headers that this node sets itself and therefore does not forward.
constexpr std::array ownHeaders{request::requestIdHeader,
                                request::deadlineHeader,
                                request::attemptLevelHeader,
                                request::requestKeyHeader};

bool isForwarded(const http_header &header)
{
    if (isHopByHopHeader(header.name)) {
        return false;
    }
    for (const char *own : ownHeaders) {
        if (absl::EqualsIgnoreCase(header.name, own)) {
            return false;
        }
    }
    return true;
}

template<typename Parsed>
std::optional<Parsed> parsedHeader(const http_headers &headers,
                                   const char *name,
                                   std::optional<Parsed> (*parse)(std::string_view))
{
    const std::optional<std::string> text = findHeader(headers, name);
    return text ? parse(*text) : std::nullopt;
}

std::string newRequestId(core::random_engine &engine)
{
    return absl::StrCat(absl::Hex(engine(), absl::kZeroPad16),
                        absl::Hex(engine(), absl::kZeroPad16));
}

request_run_result notRun(request::failure_origin origin, std::string reason)
{
    request_run_result runResult;
    runResult.attemptOutcome.outcome = request::request_outcome::NotRun;
    runResult.attemptOutcome.fault = request::attempt_fault::Refused;
    runResult.attemptOutcome.origin = origin;
    runResult.reason = std::move(reason);
    return runResult;
}

} // namespace

thread_state::thread_state()
    : engine(std::random_device()())
{
}

request_run::request_run(const http_request &received,
                         const routing_state &state,
                         const document::route &route,
                         const attempt_observer &observer,
                         const core::clock &clock,
                         thread_state &thread)
    : m_received(received)
    , m_state(state)
    , m_route(route)
    , m_observer(observer)
    , m_clock(clock)
    , m_thread(thread)
    , m_startedAt(clock.monotonicNow())
    , m_timeBudget(request::requestTime(
          route.contract,
          parsedHeader(received.headers, request::deadlineHeader, &request::parseDeadline)))
    , m_attemptLevel(
          parsedHeader(received.headers, request::attemptLevelHeader, &request::parseAttemptLevel)
              .value_or(0))
{
}

service_counters &request_run::counters() const
{
    return *m_state.services.at(m_route.service);
}

std::chrono::nanoseconds request_run::remainingTime() const
{
    return m_timeBudget - (m_clock.monotonicNow() - m_startedAt);
}

bool request_run::admit(std::string &reason)
{
    const std::string caller
        = findHeader(m_received.headers, request::callerHeader).value_or(m_received.callerAddress);
    const request::admission_verdict verdict = counters().admissionControl.decide(
        m_route.contract.urgency, caller, m_startedAt, m_thread.engine);
    switch (verdict) {
    case request::admission_verdict::Admitted:
        counters().retries.recordRequest();
        return true;
    case request::admission_verdict::ShedForUrgency:
        reason = "shed: the service is overloaded";
        return false;
    case request::admission_verdict::CallerOverShare:
        reason = "shed: this caller exceeds its share of an overloaded service";
        return false;
    }
    return false;
}

request_run_result request_run::run(const core::request_key &key)
{
    while (true) {
        request_run_result runResult = attempt(key);
        const request::finished_attempt finished{m_route.contract.kind,
                                                 runResult.attemptOutcome,
                                                 m_attempts,
                                                 m_attemptLevel,
                                                 remainingTime()};
        if (!request::mayRetry(finished, counters().retries)) {
            return runResult;
        }
    }
}

request_run_result request_run::attempt(const core::request_key &key)
{
    ++m_attempts;
    const core::monotonic_time now = m_clock.monotonicNow();
    core::result<request::server_claim> claimed
        = m_state.selector->select(m_route.service, now, m_thread.engine, m_avoidedServer);
    if (const core::error *failure = core::errorIn(claimed)) {
        const bool full = failure->code == core::error_code::ResourceExhausted;
        counters().admissionControl.report(full, m_route.contract.urgency, now);
        return notRun(full ? request::failure_origin::Overload : request::failure_origin::None,
                      core::toString(*failure));
    }
    request::server_claim claim = core::valueIn(std::move(claimed));
    m_avoidedServer = claim.server().address;
    std::string requestId = newRequestId(m_thread.engine);
    const upstream_request request = buildRequest(claim.server().address, key, requestId);
    if (request.timeout.count() <= 0) {
        return notRun(request::failure_origin::Caller, "too little time is left for an attempt");
    }
    const upstream_result sent = m_thread.client.send(request);
    m_upstreamTime += sent.elapsed;
    return finish(claim, sent, requestId);
}

upstream_request request_run::buildRequest(const core::endpoint &address,
                                           const core::request_key &key,
                                           std::string requestId)
{
    upstream_request request;
    request.address = address;
    request.method = m_received.method;
    request.target = m_received.target;
    request.body = m_received.body;
    request.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(remainingTime());
    request.mayReuseConnection = m_route.contract.kind == document::request_kind::Idempotent;
    for (const http_header &each : m_received.headers) {
        if (isForwarded(each)) {
            request.headers.push_back(each);
        }
    }
    request.headers.push_back({request::requestIdHeader, std::move(requestId)});
    request.headers.push_back({request::attemptLevelHeader, absl::StrCat(m_attemptLevel + 1)});
    request.headers.push_back(
        {request::deadlineHeader, absl::StrCat(request::nextHopTime(remainingTime()).count())});
    if (!key.empty()) {
        request.headers.push_back({request::requestKeyHeader, key.value});
    }
    return request;
}

request::attempt_facts request_run::factsOf(const request::server_claim &claim,
                                            const upstream_result &sent,
                                            const std::string &requestId) const
{
    request::attempt_facts facts;
    facts.serverIsCold = claim.isCold();
    facts.serverIsBusy = claim.isBusy();
    facts.bytesWritten = sent.state == transfer_state::NotConnected ? 0 : 1;
    facts.timedOut = sent.state == transfer_state::TimedOut;
    if (sent.response.status != 0) {
        const http_headers &headers = sent.response.headers;
        facts.status = static_cast<int>(sent.response.status);
        facts.responseComplete = sent.state == transfer_state::Complete;
        facts.responseIdMatches = findHeader(headers, request::requestIdHeader) == requestId;
        facts.declaredOutcome
            = parsedHeader(headers, request::outcomeHeader, &request::parseRequestOutcome);
        facts.declaredOrigin
            = parsedHeader(headers, request::originHeader, &request::parseFailureOrigin);
    }
    return facts;
}

request_run_result request_run::finish(request::server_claim &claim,
                                       const upstream_result &sent,
                                       const std::string &requestId)
{
    const core::monotonic_time now = m_clock.monotonicNow();
    request_run_result runResult;
    runResult.attemptOutcome = request::classify(factsOf(claim, sent, requestId));
    const bool isCold = claim.isCold();
    if (const auto load = findHeader(sent.response.headers, request::loadHeader)) {
        std::uint32_t busy = 0;
        if (absl::SimpleAtoi(*load, &busy)) {
            claim.reportLoad(busy, now);
        }
    }
    claim.finish(runResult.attemptOutcome, sent.responseTime, now);
    counters().admissionControl.report(runResult.attemptOutcome.origin
                                           == request::failure_origin::Overload,
                                       m_route.contract.urgency,
                                       now);
    if (sent.state == transfer_state::Complete && !runResult.attemptOutcome.reuseConnection) {
        m_thread.client.closeConnections();
    }
    m_observer(attempt_record{m_route.service,
                              claim.server().version,
                              m_route.name,
                              claim.server().dataCentre,
                              runResult.attemptOutcome,
                              sent.responseTime,
                              isCold});
    if (runResult.attemptOutcome.forwardResponse) {
        runResult.response = sent.response;
    } else {
        runResult.reason = absl::StrCat("backend server ",
                                        claim.server().address.value,
                                        ": ",
                                        request::toString(runResult.attemptOutcome.fault));
    }
    return runResult;
}

} // namespace jackdawweir::proxy::internal
