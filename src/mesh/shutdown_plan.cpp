#include "jackdawweir/mesh/shutdown_plan.h"

#include <algorithm>

namespace jackdawweir::mesh {

shutdown_plan::shutdown_plan(std::chrono::milliseconds timeout)
    : m_timeout(timeout)
{
}

std::chrono::milliseconds shutdown_plan::exitReserve() const
{
    return std::clamp(m_timeout / exitParts, leastExitReserve, mostExitReserve);
}

shutdown_step shutdown_plan::at(std::chrono::nanoseconds elapsed, std::size_t openRequests) const
{
    const std::chrono::nanoseconds latestEnd
        = std::max(m_timeout - exitReserve(), std::chrono::milliseconds(0));
    shutdown_step step;
    step.drains = elapsed >= drainAfter;
    step.refuses = elapsed >= std::min<std::chrono::nanoseconds>(refuseAfter, latestEnd / 2);
    step.recalls
        = elapsed >= std::max<std::chrono::nanoseconds>(latestEnd - recallTime, latestEnd / 2);
    const bool isSettled = elapsed >= refuseAfter + settleTime && openRequests == 0;
    step.ends = isSettled || elapsed >= latestEnd;
    step.cutsOff = step.ends && openRequests > 0;
    return step;
}

} // namespace jackdawweir::mesh
