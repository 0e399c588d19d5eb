// One HTTP/1.1 connection to a server, for one request at a time.
//
//     auto connection = std::make_shared<client_connection>(context, server, settings, clock);
//     connection->send(request, expected, mayStart, [](const client_result &result) { ... });
//     if (connection->isReusable()) { ... }
//     connection->close();            // cancels the request in flight
//
// A connection is reusable only after a complete response. Bytes that arrive while no request is in
// flight close the connection, since they belong to no request. A faulty server may send an earlier
// response once more while a later request is in flight; the identity of a response tells them
// apart.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/memory_budget.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/http/message.h"

namespace jackdawweir::http {

// How far a request got when it failed.
enum class send_stage : std::uint8_t {
    NotSent, // No byte of the request left this process.
    Sent, // The server may have received the request, in part or whole.
};

struct client_failure {
    send_stage stage = send_stage::Sent;
    // Whether the server refused the connection, so nothing listens at its address.
    bool isRefused = false;
    std::string reason;
};

using client_result = std::variant<response, client_failure>;
using client_handler = std::function<void(client_result)>;

struct client_settings {
    std::chrono::milliseconds connectTimeout{1000};
    // A response with a larger body fails the request.
    std::uint64_t maxBodyBytes = 15U << 20U;
    // An idle connection is not reused after this time, or after a shorter one that the server
    // states in Keep-Alive.
    std::chrono::milliseconds maxIdle{6000};
    // An idle connection is no longer reused this long before the timeout that the server states:
    // if the server closes it while a request is being sent, the request may or may not have run.
    std::chrono::milliseconds idleMargin{1500};
    // Limits the memory of the responses of all connections that share it, which must use the same
    // event loop. Without it there is no common limit.
    std::shared_ptr<core::memory_budget> budget;
};

// The header that identifies the response to a request, and its expected value.
struct response_identity {
    std::string header;
    std::string value;
};

class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(boost::asio::io_context &context,
                      core::endpoint server,
                      const client_settings &settings,
                      const core::clock &clock);

    // Sends a request, after connecting if necessary. The handler is called once, unless close() is
    // called before. A response with another identity is skipped, and so is one without an identity
    // if the connection has carried an earlier request. `mayStart` is called right before
    // the first byte is sent; if it returns false, nothing is sent and the request fails.
    void send(const request &sent,
              response_identity expected,
              std::function<bool()> mayStart,
              client_handler handler);

    // Closes the connection immediately. The handler of a request in flight is not called.
    void close();

    // Returns true if the connection is open and has been idle for less than its idle limit.
    bool isReusable() const;
    // Returns true if it is reusable for a request whose response has this identity. It is not if a
    // repeated response could be taken for that response.
    bool isReusableFor(const response_identity &expected) const;
    // Records that the last response was a refusal, after which the same request may be sent again.
    void recordRefusal();
    // Returns true if a request was sent over the connection when it was already open.
    bool wasReused() const;

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void writeRequest();
    void handleWriteFailure(const boost::system::error_code &failure);
    void readMore();
    void handleRead(const boost::system::error_code &failure, std::size_t size);
    void handleEnd(const boost::system::error_code &failure);
    void parse();
    void finishResponse();
    // Returns false if the response exceeds the shared memory limit.
    bool reserveReceived(std::size_t size);
    // Skips a response that is not the expected one, and fails the request if there are too many.
    void skipResponse();
    void releaseBuffers();
    void deliver(client_result result);
    void fail(const std::string &reason, bool isRefused);
    void updateIdleLimit(const header_list &headers);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    core::endpoint m_server;
    client_settings m_settings;
    const core::clock &m_clock;
    boost::beast::flat_buffer m_input;
    std::optional<response_parser> m_parser;
    std::string m_output;
    response_identity m_expected;
    std::function<bool()> m_mayStart;
    client_handler m_handler;
    send_stage m_stage = send_stage::NotSent;
    std::size_t m_skipped = 0;
    // The bytes received for the request in flight.
    core::memory_claim m_received;
    // The error that ended the connection, if the write of the request got it.
    boost::system::error_code m_writeFailure;
    bool m_isHead = false;
    bool m_isOpen = false;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    bool m_wasReused = false;
    bool m_keepsAlive = true;
    // The identities of the requests that the server refused on this connection.
    std::set<std::string> m_refused;
    core::monotonic_time m_idleSince;
    std::chrono::milliseconds m_idleLimit;
};

} // namespace jackdawweir::http
