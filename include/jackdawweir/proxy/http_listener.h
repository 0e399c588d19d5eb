// The callers' HTTP port, over libmicrohttpd, with one thread for each connection.
//
//     http_listener listener(settings.callers, [](const http_request &request) { return
//     handle(request); }); core::status started = listener.start();
//     ...
//     const std::size_t cut = listener.shutDown(settings.limits.shutdownTimeout);

#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/proxy/http_message.h"

namespace jackdawweir::proxy {

// Called on the connection's thread; it may block until the response is known.
using http_handler = std::function<http_response(const http_request &)>;

class http_listener
{
public:
    http_listener(core::endpoint address, http_handler handler);
    // Ends at once; requests in flight are cut off unless shutDown came before.
    ~http_listener();
    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    // Errors: Unavailable where the address cannot be bound, InvalidArgument for a malformed one.
    core::status start();

    // Returns the number of requests whose response is not yet sent whole.
    std::size_t requestsInFlight() const;

    // Takes no new connection, closes each connection after its response, waits until all requests
    // in flight are answered or the timeout ends, and returns the number that were cut off.
    std::size_t shutDown(std::chrono::milliseconds timeout);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::proxy
