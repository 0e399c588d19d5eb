#include "jackdawweir/request/attempt_outcome.h"

#include <array>

namespace jackdawweir::request {

namespace {

constexpr int firstServerErrorStatus = 500;
constexpr int unavailableStatus = 503;

failure_origin serverOrigin(const attempt_facts &facts)
{
    return facts.serverIsCold ? failure_origin::ColdStart : failure_origin::Server;
}

attempt_outcome failed(request_outcome outcome, attempt_fault fault, failure_origin origin)
{
    attempt_outcome result;
    result.outcome = outcome;
    result.fault = fault;
    result.origin = origin;
    return result;
}

attempt_outcome classifyUnsent(const attempt_facts &facts)
{
    if (facts.cancelled) {
        return failed(request_outcome::NotRun, attempt_fault::Cancelled, failure_origin::Caller);
    }
    return failed(request_outcome::NotRun, attempt_fault::Refused, serverOrigin(facts));
}

failure_origin originOfErrorStatus(const attempt_facts &facts)
{
    if (facts.declaredOrigin && *facts.declaredOrigin != failure_origin::None) {
        return *facts.declaredOrigin;
    }
    if (facts.declaredOutcome == request_outcome::NotRun) {
        return failure_origin::Overload;
    }
    if (facts.declaredOutcome == request_outcome::Unknown) {
        return failure_origin::FurtherDown;
    }
    if (*facts.status == unavailableStatus && facts.serverIsBusy) {
        return failure_origin::Overload;
    }
    return serverOrigin(facts);
}

attempt_outcome classifyComplete(const attempt_facts &facts)
{
    attempt_outcome result;
    result.outcome = facts.declaredOutcome.value_or(request_outcome::Done);
    // An error status without a declared outcome is a response of the server like any other.
    result.forwardResponse = result.outcome == request_outcome::Done;
    result.reuseConnection = !facts.connectionCloses;
    const bool isFailure
        = *facts.status >= firstServerErrorStatus || result.outcome != request_outcome::Done;
    if (isFailure) {
        result.fault = attempt_fault::ErrorStatus;
        result.origin = originOfErrorStatus(facts);
    }
    return result;
}

} // namespace

attempt_outcome classify(const attempt_facts &facts)
{
    if (facts.bytesWritten == 0) {
        return classifyUnsent(facts);
    }
    // The content of a response is used only if the response belongs to this request.
    if (facts.status && !facts.responseIdMatches) {
        return failed(request_outcome::Unknown, attempt_fault::Crossed, serverOrigin(facts));
    }
    if (facts.cancelled) {
        return failed(request_outcome::Unknown, attempt_fault::Cancelled, failure_origin::Caller);
    }
    if (facts.timedOut) {
        return failed(request_outcome::Unknown, attempt_fault::TimedOut, serverOrigin(facts));
    }
    if (!facts.status || !facts.responseComplete) {
        return failed(request_outcome::Unknown, attempt_fault::Truncated, serverOrigin(facts));
    }
    return classifyComplete(facts);
}

const char *toString(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::Done:
        return "done";
    case request_outcome::NotRun:
        return "not-run";
    case request_outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char *toString(failure_origin origin)
{
    switch (origin) {
    case failure_origin::None:
        return "none";
    case failure_origin::Server:
        return "server";
    case failure_origin::FurtherDown:
        return "further-down";
    case failure_origin::Overload:
        return "overload";
    case failure_origin::ColdStart:
        return "cold-start";
    case failure_origin::Draining:
        return "draining";
    case failure_origin::Caller:
        return "caller";
    }
    return "none";
}

const char *toString(attempt_fault fault)
{
    switch (fault) {
    case attempt_fault::None:
        return "none";
    case attempt_fault::Refused:
        return "refused";
    case attempt_fault::ErrorStatus:
        return "error-status";
    case attempt_fault::Crossed:
        return "crossed";
    case attempt_fault::Truncated:
        return "truncated";
    case attempt_fault::TimedOut:
        return "timed-out";
    case attempt_fault::Cancelled:
        return "cancelled";
    }
    return "none";
}

std::optional<request_outcome> parseRequestOutcome(std::string_view name)
{
    constexpr std::array outcomes{
        request_outcome::Done, request_outcome::NotRun, request_outcome::Unknown};
    for (const request_outcome outcome : outcomes) {
        if (name == toString(outcome)) {
            return outcome;
        }
    }
    return std::nullopt;
}

std::optional<failure_origin> parseFailureOrigin(std::string_view name)
{
    constexpr std::array origins{failure_origin::None,
                                 failure_origin::Server,
                                 failure_origin::FurtherDown,
                                 failure_origin::Overload,
                                 failure_origin::ColdStart,
                                 failure_origin::Draining,
                                 failure_origin::Caller};
    for (const failure_origin origin : origins) {
        if (name == toString(origin)) {
            return origin;
        }
    }
    return std::nullopt;
}

} // namespace jackdawweir::request
