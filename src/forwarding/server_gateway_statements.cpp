// The part of server_gateway that reads what backend servers state about themselves.

#include <cmath>
#include <optional>
#include <string>

#include "forwarding/server_gateway_state.h"
#include "jackdawweir/http/status.h"

namespace jackdawweir::forwarding {

namespace {

constexpr double inPercent = 100.0;

} // namespace

void server_gateway::readStatement(local_server &server,
                                   const http::response &received,
                                   bool isNotRun)
{
    if (received.status == http::status::misdirected) {
        // Another server answered at this address.
        return;
    }
    readLoad(server, received);
    const double previous = server.statements.current().requestsPerSecond;
    applyStatement(
        server, server.statements.apply(received.headers, m_settings.headers, !isNotRun), previous);
}

void server_gateway::readLoad(local_server &server, const http::response &received)
{
    const std::string *text = http::findHeader(received.headers, m_settings.headers.serverLoad);
    const std::optional<stated_load> load = text == nullptr ? std::nullopt : parseStatedLoad(*text);
    if (load && load->timePercent) {
        server.pace.record(*load->timePercent, m_clock.monotonicNow());
    }
}

std::chrono::nanoseconds server_gateway::usualRunTime(const served_request &ended,
                                                      core::monotonic_time now)
{
    const double slowdown = (ended.slowdownAtStart + ended.server->pace.slowdown(now)) / 2;
    const std::chrono::duration<double, std::nano> elapsed = now - ended.startedAt;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed / slowdown);
}

bool server_gateway::isTooSlowFor(const local_server &server,
                                  const forward_request &received,
                                  core::monotonic_time now) const
{
    const double slowdown = server.pace.slowdown(now);
    if (!received.mayUseAnotherServer || slowdown < m_settings.slowFactor
        || received.targetRemaining <= std::chrono::microseconds(0)) {
        return false;
    }
    const server_load load = server.admission.load(received.route);
    const double expected = static_cast<double>(load.routeRunTime.count()) * slowdown;
    return expected
        > m_settings.slowEndFraction * static_cast<double>(received.targetRemaining.count());
}

// The callers' nodes know a limit that was stated to an earlier process of this node.
void server_gateway::adoptStatement(local_server &server, const server_statement &known)
{
    const double previous = server.statements.current().requestsPerSecond;
    applyStatement(server, server.statements.adopt(known), previous);
}

void server_gateway::applyStatement(local_server &server,
                                    const std::vector<statement_event> &events,
                                    double previousLimit)
{
    const server_statement &stated = server.statements.current();
    for (const statement_event event : events) {
        if (event == statement_event::LeaveStated) {
            server.statedLeaveAt = m_clock.monotonicNow();
        }
        m_hooks.serverStated(stated_change{server.record.instance,
                                           server.record.startedAt,
                                           event,
                                           stated.requestsPerSecond,
                                           previousLimit});
    }
    updateLimit(server, m_clock.monotonicNow());
}

server_load server_gateway::loadFor(const served_request &request) const
{
    const local_server &server = *request.server;
    server_load load = server.admission.load(request.forwarded.route);
    load.stated = server.statements.current();
    load.limitWait = server.admission.limitWait(m_clock.monotonicNow());
    load.limitPerSecond = server.limitPerSecond;
    load.downstream = m_settings.calls->loadsOf(request.forwarded.route, m_clock.monotonicNow());
    load.slowdownPercent = static_cast<std::uint32_t>(
        std::lround(server.pace.slowdown(m_clock.monotonicNow()) * inPercent));
    return load;
}

limit_totals server_gateway::statedLimits() const
{
    limit_totals totals;
    for (const auto &[instance, server] : m_servers) {
        const double limit = server->statements.current().requestsPerSecond;
        totals.servers += limit > 0 ? 1 : 0;
        totals.requestsPerSecond += limit;
    }
    return totals;
}

} // namespace jackdawweir::forwarding
