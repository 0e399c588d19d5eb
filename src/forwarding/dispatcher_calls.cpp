// The part of dispatcher that handles the calls that runs make.

#include "forwarding/dispatcher_state.h"

namespace jackdawweir::forwarding {

void dispatcher::findCaller(open_request &open, core::monotonic_time now) const
{
    if (!open.request.remaining) {
        return;
    }
    open.callingRoute = m_settings.calls->findCaller(now + *open.request.remaining);
}

bool dispatcher::admitCalls(open_request &open, core::monotonic_time now)
{
    if (open.callingRoute) {
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

void dispatcher::recordCall(const open_request &open, bool isServed, core::monotonic_time now)
{
    if (open.callingRoute) {
        m_settings.calls->recordCall(*open.callingRoute,
                                     open.service,
                                     isServed ? call_result::Served : call_result::Refused,
                                     now);
    }
}

double dispatcher::leastDownstreamShare() const
{
    return m_downstream.leastShare();
}

} // namespace jackdawweir::forwarding
