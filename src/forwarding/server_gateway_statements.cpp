// The part of server_gateway that reads what backend servers state about themselves.

#include "forwarding/server_gateway_state.h"
#include "jackdawweir/http/status.h"

namespace jackdawweir::forwarding {

void server_gateway::readStatement(local_server &server,
                                   const http::response &received,
                                   bool isNotRun)
{
    if (received.status == http::status::misdirected) {
        // Another server answered at this address.
        return;
    }
    const double previous = server.statements.current().requestsPerSecond;
    applyStatement(
        server, server.statements.apply(received.headers, m_settings.headers, !isNotRun), previous);
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
