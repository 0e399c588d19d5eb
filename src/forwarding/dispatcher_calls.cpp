// The part of dispatcher that handles the calls that runs make.

#include "forwarding/dispatcher_state.h"

namespace jackdawweir::forwarding {

void dispatcher::identifyCall(open_request &open, core::monotonic_time now)
{
    open.isCallOfRun = open.request.remaining
        && m_settings.calls->isCall(open.route->name, now + *open.request.remaining, now);
}

bool dispatcher::admitCalls(open_request &open, core::monotonic_time now)
{
    if (open.isCallOfRun) {
        // The work of the run that makes this call has begun.
        return true;
    }
    const downstream_decision decision = m_downstream.decide(
        downstream_request{open.route->name, open.route->rank, open.priorWait}, now, m_engine);
    if (!decision.isAdmitted) {
        open.fullService = decision.service;
        open.slotFreeAfter = decision.retryAfter;
    }
    return decision.isAdmitted;
}

void dispatcher::recordCall(const open_request &open,
                            const caller_answer &answer,
                            core::monotonic_time now)
{
    if (!open.isCallOfRun) {
        return;
    }
    // A server that rejects requests by itself does so whatever the load is, so fewer requests
    // would not help.
    const bool isRefused
        = answer.outcome == caller_outcome::NotRun && answer.reason == forward_reason::Full;
    m_settings.calls->recordCall(open.route->name,
                                 open.service,
                                 isRefused ? call_result::Refused : call_result::NotRefused,
                                 now);
}

double dispatcher::leastDownstreamShare() const
{
    return m_downstream.leastShare();
}

} // namespace jackdawweir::forwarding
