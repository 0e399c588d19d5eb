// An HTTP/1.1 server on an event loop. Requests of one connection are answered in the order in
// which they came; a caller that leaves is noticed while its request is still open.
//
//     listener callers(context, settings, clock, [](const std::shared_ptr<exchange> &open) {
//         open->onDisconnect([] { ... });
//         open->respond(response{200, {}, "hello"});
//     });
//     core::status started = callers.start(endpoint);
//
// All calls run on the thread of the io_context, and so do the handlers.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/http/message.h"

namespace jackdawweir::http {

struct listener_settings {
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 8U << 20U;
    // The time for a request to arrive as a whole once its first byte is there.
    std::chrono::milliseconds requestTimeout{5000};
    // The time that a connection may stay open without a request.
    std::chrono::milliseconds idleTimeout{15000};
    // Further connections wait in the queue of the system.
    std::size_t maxConnections = 2000;
};

namespace internal {
class server_connection;
} // namespace internal

// One request and the way to answer it.
class exchange
{
public:
    exchange(std::weak_ptr<internal::server_connection> connection, request received);
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;
    ~exchange() = default;

    const request &received() const;

    // Sends the final response. A second call, or one after the caller left, does nothing.
    void respond(response sent);

    // Closes the connection without a response.
    void abort();

    // Called once, where the caller leaves before the response was sent.
    void onDisconnect(std::function<void()> handler);

private:
    friend class internal::server_connection;

    std::weak_ptr<internal::server_connection> m_connection;
    request m_received;
    std::function<void()> m_gone;
    bool m_isGone = false;
    bool m_isAnswered = false;
};

using exchange_handler = std::function<void(const std::shared_ptr<exchange> &)>;

class listener
{
public:
    listener(boost::asio::io_context &context,
             const listener_settings &settings,
             exchange_handler handler);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    // Errors: InvalidArgument, Unavailable where the address is taken.
    core::status start(const core::endpoint &address);

    // Holds for requests that begin from now on.
    void setLimits(const listener_settings &settings);

    // Closes connections without a request, and each other one after its open requests. Called
    // again and again, it also reaches connections that are opened meanwhile.
    void drain();

    // Closes the port and every connection.
    void stop();

    // Requests that were read and not answered.
    std::size_t openRequests() const;

private:
    friend class internal::server_connection;

    void acceptNext();

    boost::asio::io_context &m_context;
    listener_settings m_settings;
    exchange_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<internal::server_connection>> m_connections;
    bool m_isAccepting = false;
    bool m_isStopped = false;
};

} // namespace jackdawweir::http
