// The port for callers on the own host: translates HTTP requests for the node and its answers back.
//
//     caller_port port(process, node, names);
//     core::status started = port.start();

#pragma once

#include <cstddef>

#include "jackdawweir/core/error.h"
#include "jackdawweir/forwarding/server_gateway.h"
#include "jackdawweir/http/listener.h"
#include "jackdawweir/mesh/node.h"
#include "jackdawweir/mesh/process.h"

namespace jackdawweir::mesh {

class caller_port
{
public:
    caller_port(process &shared, node &own, forwarding::header_names names);

    // Errors: InvalidArgument, Unavailable.
    core::status start();

    // Connections close after their next response, and idle ones at once.
    void drain();
    void stop();

    std::size_t openRequests() const;

private:
    void take(const std::shared_ptr<http::exchange> &open);
    http::response responseTo(const forwarding::caller_answer &answer) const;

    process &m_process;
    node &m_node;
    forwarding::header_names m_names;
    http::listener m_listener;
    std::uint64_t m_limitsRevision = 0;
};

} // namespace jackdawweir::mesh
