// Sends requests to one node, on routes that changes added, removed or re-targeted, and records
// which service ran them.
//
//     probeNode({address, port}, node, history, isDone, seed);

#pragma once

#include <atomic>

#include <boost/asio/ip/tcp.hpp>

#include "platform_soak/configuration_history.h"

namespace jackdawweir::platform_soak {

// Probes a node until `isDone` is set.
void probeNode(const boost::asio::ip::tcp::endpoint &address,
               int node,
               configuration_history &history,
               const std::atomic<bool> &isDone,
               unsigned seed);

} // namespace jackdawweir::platform_soak
