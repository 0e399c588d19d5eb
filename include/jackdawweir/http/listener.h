// An HTTP/1.1 server on an event loop. The responses of one connection are sent in the order of the
// requests. A caller's disconnect is detected while its request is still open.
//
//     listener callers(context, settings, [](const std::shared_ptr<exchange> &open) {
//         open->onDisconnect([] { ... });
//         open->respond(response{200, {}, "hello"});
//     });
//     core::status started = callers.start(endpoint);
//
// All calls run on the thread of the io_context, and so do the handlers.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/http/caller_guard.h"
#include "jackdawweir/http/message.h"

namespace jackdawweir::http {

struct listener_settings {
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 8U << 20U;
    // The time from the first byte of a request until the request is complete.
    std::chrono::milliseconds requestTimeout{5000};
    // The time for which a connection without a request is kept open.
    std::chrono::milliseconds idleTimeout{15000};
    // A further connection takes the place of the one that has waited longest for its caller: for a
    // request, the rest of one, or for the response to be taken. While none waits, it stays in the
    // accept queue of the operating system.
    std::size_t maxConnections = 2000;
    // Limits the memory of the callers of all listeners that share it. Outlives the listener;
    // without it there is no common limit.
    caller_guard *guard = nullptr;
};

namespace internal {
class server_connection;
} // namespace internal

// One received request, and its response.
class exchange
{
public:
    exchange(std::weak_ptr<internal::server_connection> connection, request received);
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;
    ~exchange() = default;

    const request &received() const;
    // Returns the request and leaves an empty one behind.
    request takeReceived();

    // Sends the final response. A second call, or one after the caller disconnected, does nothing.
    void respond(response sent);

    // Closes the connection without a response.
    void abort();

    // Sets a handler that is called once if the caller disconnects before the response is sent.
    void onDisconnect(std::function<void()> handler);

private:
    friend class internal::server_connection;

    std::weak_ptr<internal::server_connection> m_connection;
    request m_received;
    std::function<void()> m_disconnectHandler;
    bool m_isDisconnected = false;
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

    // Applies to requests that begin after this call.
    void setLimits(const listener_settings &settings);

    // Closes idle connections at once and the others after their open requests. New connections are
    // still accepted, so it is called repeatedly to close these as well.
    void drain();

    // Closes the port and every connection.
    void stop();

    // Returns the number of requests that were read and not answered yet.
    std::size_t openRequests() const;

private:
    friend class internal::server_connection;

    void acceptNext();
    void acceptAfterDelay();
    void add(boost::asio::ip::tcp::socket socket);
    std::shared_ptr<internal::server_connection> dispensableConnection() const;

    boost::asio::io_context &m_context;
    listener_settings m_settings;
    exchange_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    // Receives the bytes of each read. A connection keeps only what it can't parse at once.
    std::array<char, std::size_t{16} * 1024> m_readBuffer{};
    std::set<std::shared_ptr<internal::server_connection>> m_connections;
    bool m_isAccepting = false;
    bool m_isStopped = false;
};

} // namespace jackdawweir::http
