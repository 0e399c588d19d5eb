// Spreads the first requests of all nodes to a server that has become cold.
//
// Handles the return of a data centre: all nodes learn at the same time that its servers are there
// again, and none has an answer that states their limits yet. Without a spread, each server would
// refuse as many requests as there are nodes.

#pragma once

#include <chrono>
#include <cstddef>

#include "jackdawweir/core/names.h"
#include "jackdawweir/fleet/records.h"

namespace jackdawweir::forwarding {

// Returns how long after a server became cold a node first sends it a request. The delays of
// `callers` nodes are spread evenly over the time in which the server takes one request of each, at
// `requestsPerSecond`; a rate of zero means no delay.
std::chrono::microseconds firstContactDelay(const core::host_name &host,
                                            const fleet::instance_name &instance,
                                            std::size_t callers,
                                            double requestsPerSecond);

} // namespace jackdawweir::forwarding
