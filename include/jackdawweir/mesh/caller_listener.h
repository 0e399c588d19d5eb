// The HTTP listener for callers on the host of the node: passes their requests to the node and
// converts the node's answers to HTTP responses.
//
//     caller_listener listener(context, node, headerNames);
//     core::status started = listener.start();

#pragma once

#include <cstddef>

#include "jackdawweir/core/error.h"
#include "jackdawweir/forwarding/server_gateway.h"
#include "jackdawweir/http/listener.h"
#include "jackdawweir/mesh/node.h"
#include "jackdawweir/mesh/process_context.h"

namespace jackdawweir::mesh {

class caller_listener
{
public:
    caller_listener(process_context &context, node &localNode, forwarding::header_names names);

    // Errors: InvalidArgument, Unavailable.
    core::status start();

    // Closes idle connections at once and the others after their next response.
    void drain();
    void stop();

    std::size_t openRequests() const;

private:
    void handleRequest(const std::shared_ptr<http::exchange> &call);
    // Applies the limits of the policy in force to requests that begin from now on.
    void applyLimits();
    http::response toResponse(const forwarding::caller_answer &answer) const;

    process_context &m_context;
    node &m_node;
    forwarding::header_names m_names;
    http::listener m_listener;
};

} // namespace jackdawweir::mesh
