// The part of a mesh-wide budget of repeats that one node may spend on one service. All nodes keep
// to their shares without talking to each other: a share is a part of the node's own requests and
// an equal part of the fixed allowance.
//
// Answers the load of a service that fails: repeats stay a small part of its requests.
//
//     retry_share share(settings);
//     share.recordRequest(now);
//     if (share.tryTake(now, nodeCount)) { /* send it again */ }

#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::forwarding {

struct retry_settings {
    // Repeats allowed for each request, over all nodes.
    double ratio = 0.2;
    // Repeats allowed besides, over all nodes and any window.
    double allowance = 0;
    std::chrono::milliseconds window{10'000};
    // The part of the budget that is spent. A repeated request makes its calls again, which count
    // as repeats at the services it calls and may be repeated themselves, and windows are not
    // aligned.
    double spentPart = 0.3;
};

class retry_share
{
public:
    explicit retry_share(const retry_settings &settings);

    void recordRequest(core::monotonic_time now);

    // Takes one repeat from the share; false where none is left.
    bool tryTake(core::monotonic_time now, std::size_t nodeCount);

private:
    void forget(core::monotonic_time now);

    retry_settings m_settings;
    std::deque<core::monotonic_time> m_requests;
    std::deque<core::monotonic_time> m_repeats;
};

} // namespace jackdawweir::forwarding
