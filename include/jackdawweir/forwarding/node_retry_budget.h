// The part of a mesh-wide retry budget that one node may spend on one service. The nodes keep to
// the budget without exchanging messages: each node may spend a fraction of its own requests and an
// equal part of the fixed allowance.
//
// Limits the load on a failing service: retries stay a small fraction of its requests.
//
//     node_retry_budget budget(settings);
//     budget.recordRequest(now);
//     if (budget.tryTake(now, nodeCount)) { /* retry */ }

#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::forwarding {

struct retry_settings {
    // Retries allowed for each request, over all nodes.
    double ratio = 0.2;
    // Retries allowed in addition, over all nodes and within any window.
    double allowance = 0;
    std::chrono::milliseconds window{10'000};
    // The fraction of the budget that is spent. It is well below 1 because a retried request makes
    // its own calls again, which count as retries at the services it calls and may be retried
    // themselves, and because the windows of the nodes are not aligned.
    double usableFraction = 0.3;
};

class node_retry_budget
{
public:
    explicit node_retry_budget(const retry_settings &settings);

    void recordRequest(core::monotonic_time now);

    // Takes one retry from the budget. Returns false if none is left.
    bool tryTake(core::monotonic_time now, std::size_t nodeCount);

private:
    void removeExpired(core::monotonic_time now);

    retry_settings m_settings;
    std::deque<core::monotonic_time> m_requests;
    std::deque<core::monotonic_time> m_retries;
};

} // namespace jackdawweir::forwarding
