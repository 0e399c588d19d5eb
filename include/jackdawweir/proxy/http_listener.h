// The HTTP server for callers, based on libmicrohttpd, with one thread for each connection.
//
//     http_listener listener(settings.callers, [](const http_request &request) {
//         return handle(request);
//     });
//     core::status started = listener.start();
//     ...
//     const std::size_t aborted = listener.shutDown(settings.limits.shutdownTimeout);

#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/proxy/http_message.h"

namespace jackdawweir::proxy {

// Called on the connection's thread; it may block until the response is available.
using http_handler = std::function<http_response(const http_request &)>;

class http_listener
{
public:
    http_listener(core::endpoint address, http_handler handler);
    // Stops at once and aborts requests in flight. Call shutDown first to let them complete.
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    // Errors: Unavailable when the address cannot be bound; InvalidArgument when it is malformed.
    core::status start();

    // Returns the number of requests whose response is not yet fully sent.
    std::size_t requestsInFlight() const;

    // Accepts no new connections, closes each connection after its response, waits until all
    // requests in flight are answered or the timeout expires, and returns the number of aborted
    // requests.
    std::size_t shutDown(std::chrono::milliseconds timeout);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::proxy
