// The part of dispatcher that counts requests for the quotas of workspaces.

#include "forwarding/dispatcher_state.h"
#include "jackdawweir/forwarding/dispatcher.h"

namespace jackdawweir::forwarding {

void dispatcher::setQuota(quota::node_quota &quota)
{
    m_quota = &quota;
}

std::optional<std::chrono::milliseconds> dispatcher::tryAdmit(open_request &open,
                                                              core::monotonic_time now)
{
    if (m_quota == nullptr || open.workspace.empty()) {
        return std::nullopt;
    }
    const std::optional<std::chrono::milliseconds> retryAfter
        = m_quota->tryAdmit(open.workspace, now);
    open.isCounted = !retryAfter;
    return retryAfter;
}

void dispatcher::chargeRepeat(const open_request &open, core::monotonic_time now)
{
    if (open.isCounted) {
        m_quota->chargeRepeat(open.workspace, now);
    }
}

void dispatcher::releaseQuota(open_request &open, caller_outcome outcome, core::monotonic_time now)
{
    const bool isNotRun
        = outcome == caller_outcome::NotRun || outcome == caller_outcome::Unauthorized;
    if (open.isCounted && isNotRun && !open.mayHaveRun) {
        m_quota->release(open.workspace, now);
    }
}

} // namespace jackdawweir::forwarding
