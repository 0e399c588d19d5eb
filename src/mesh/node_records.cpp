// The part of node that logs how requests ended, counts them and sets the gauges.

#include <chrono>
#include <string>

#include <absl/strings/str_cat.h>

#include "jackdawweir/http/status.h"
#include "jackdawweir/mesh/node.h"

namespace jackdawweir::mesh {

using std::chrono::milliseconds;

void node::recordSuppressedLines()
{
    const std::uint64_t common = m_commonRequestLimiter.takeSuppressed();
    const std::uint64_t others = m_otherRequestLimiter.takeSuppressed();
    if (common + others > 0) {
        m_context.record(m_context.event("lines-suppressed")
                             .step("log")
                             .field("served", std::to_string(common))
                             .field("others", std::to_string(others))
                             .build());
    }
}

void node::recordAnswer(const std::string &requestId, const forwarding::caller_answer &answer)
{
    m_context.processMetrics.countAnswer(answer.outcome, answer.reason, answer.elapsed);
    const bool isCommon = answer.outcome == forwarding::caller_outcome::Answered
        && !http::status::isServerError(answer.response.status) && answer.attempts <= 1
        && answer.refusals == 0;
    observe::log_rate_limiter &limiter = isCommon ? m_commonRequestLimiter : m_otherRequestLimiter;
    if (!limiter.tryTake(m_context.now())) {
        return;
    }
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(answer.elapsed);
    const core::monotonic_time now = m_context.now();
    const auto viewAge = std::chrono::duration_cast<milliseconds>(now - m_viewSince);
    const auto sourceSilence
        = std::chrono::duration_cast<milliseconds>(now - m_fleet.currentSourceHeardAt());
    m_context.record(m_context.event("request-ended")
                         .step("answer")
                         .field("request", requestId)
                         .field("route", answer.route.value)
                         .field("workspace", answer.workspace.value)
                         .field("outcome", forwarding::toString(answer.outcome))
                         .field("reason", forwarding::toString(answer.reason))
                         .field("status", std::to_string(answer.response.status))
                         .field("instance", answer.instance.value)
                         .field("full-service", answer.fullService.value)
                         .field("attempts", std::to_string(answer.attempts))
                         .field("refusals", std::to_string(answer.refusals))
                         .field("revision", std::to_string(answer.revision))
                         .field("revision-age-ms", std::to_string(viewAge.count()))
                         .field("announced", std::to_string(m_fleet.announcedRevision()))
                         .field("source-silent-ms", std::to_string(sourceSilence.count()))
                         .field("hosts", std::to_string(answer.knownHosts))
                         .field("sources", m_isSourceReachable ? "heard" : "silent")
                         .field("retry-after-ms", std::to_string(answer.retryAfter.count()))
                         .field("elapsed-us", std::to_string(micros.count()))
                         .build());
}

void node::recordRequestToLeavingServer(const forwarding::leaving_request &started)
{
    m_context.processMetrics.countRequestToLeavingServer();
    if (!m_otherRequestLimiter.tryTake(m_context.now())) {
        return;
    }
    m_context.record(m_context.event("request-to-leaving-server")
                         .peer(started.peer.value)
                         .step("gate")
                         .field("request", started.requestId)
                         .field("instance", started.instance.value)
                         .field("leaving-ms", std::to_string(started.leavingFor.count()))
                         .build());
}

void node::recordStatement(const forwarding::stated_change &change)
{
    m_context.processMetrics.countStatement(change.event);
    // A server states its leave once, but may change its limit with every response.
    const bool isSingle = change.event == forwarding::statement_event::LeaveStated;
    if (!isSingle && !m_otherRequestLimiter.tryTake(m_context.now())) {
        return;
    }
    m_context.record(m_context.event(absl::StrCat("server-", forwarding::toString(change.event)))
                         .step("gate")
                         .field("instance", change.instance.value)
                         .field("limit-per-second", absl::StrCat(change.requestsPerSecond))
                         .field("previous-per-second", absl::StrCat(change.previousPerSecond))
                         .build());
}

void node::recordColdChange(const forwarding::cold_change &change)
{
    m_context.record(m_context.event(change.isCold ? "server-cold" : "server-warm")
                         .step("gate")
                         .field("instance", change.instance.value)
                         .field("suspected", change.isSuspected ? "true" : "false")
                         .field("remaining-ms", std::to_string(change.remaining.count()))
                         .field("limit-per-second", absl::StrCat(change.limitPerSecond))
                         .build());
}

void node::recordServed(const core::endpoint &peer,
                        const std::string &requestId,
                        const forwarding::forward_answer &answer)
{
    m_context.processMetrics.countServed(answer.outcome, answer.reason);
    const bool isAnswered = answer.outcome == forwarding::forward_outcome::Answered;
    if (isAnswered || !m_otherRequestLimiter.tryTake(m_context.now())) {
        return;
    }
    const auto retryAfter = std::chrono::duration_cast<milliseconds>(answer.retryAfter);
    m_context.record(m_context.event("request-not-served")
                         .peer(peer.value)
                         .step("gate")
                         .field("request", requestId)
                         .field("outcome", forwarding::toString(answer.outcome))
                         .field("reason", forwarding::toString(answer.reason))
                         .field("offered", answer.wasSentToServer ? "true" : "false")
                         .field("running", std::to_string(answer.load.running))
                         .field("waiting", std::to_string(answer.load.waiting))
                         .field("slots", std::to_string(answer.load.slots))
                         .field("pace-us", std::to_string(answer.load.meanRunTime.count()))
                         .field("retry-after-ms", std::to_string(retryAfter.count()))
                         .build());
}

void node::recordReachability(const core::endpoint &peer, forwarding::reachability_change change)
{
    const bool isRegained = change == forwarding::reachability_change::Regained;
    m_context.record(m_context.event(isRegained ? "peer-regained" : "peer-lost")
                         .peer(peer.value)
                         .step("forward")
                         .field("cause", forwarding::toString(change))
                         .build());
}

void node::updateGauges()
{
    const std::size_t waiting = m_gateway.waitingRequests();
    m_context.processMetrics.setLoad(static_cast<std::uint32_t>(m_gateway.openRequests() - waiting),
                                     static_cast<std::uint32_t>(waiting));
    m_context.processMetrics.setQuotaInTouch(m_quota.isInTouch(m_context.now()));
    m_context.processMetrics.setServerLimits(m_gateway.statedLimits());
    m_context.processMetrics.setColdServers(m_gateway.coldServers(m_context.now()));
    m_context.processMetrics.setEvacuated(m_dispatcher.view().evacuated.size());
    m_context.processMetrics.setUnreachableNodes(m_dispatcher.unreachablePeers());
    m_context.processMetrics.setDownstreamShare(m_dispatcher.leastDownstreamShare());
    m_context.processMetrics.setRevision(m_dispatcher.revision(),
                                         m_dispatcher.view().policy.number);
    m_context.processMetrics.setAnnounced(m_fleet.announcedRevision(),
                                          m_context.now() - m_fleet.currentSourceHeardAt());
}

} // namespace jackdawweir::mesh
