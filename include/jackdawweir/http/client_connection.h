// One HTTP/1.1 connection to a server, for one request at a time.
//
//     auto connection = client_connection::open(context, endpoint, timeouts);
//     connection->send(request, expected, [](const client_result &ended) { ... });
//     if (connection->isReusable(now)) { ... }
//     connection->close();            // cancels what is under way
//
// A connection is reusable only after a response that ended cleanly and wholly. Bytes that come
// while no request is open close it: they belong to no request.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/http/message.h"
#include "jackdawweir/http/receive_budget.h"

namespace jackdawweir::http {

// How far a request got when it failed.
enum class send_stage : std::uint8_t {
    NotSent, // No byte of the request left this process.
    Sent, // The server may have received the request, in part or whole.
};

struct client_failure {
    send_stage stage = send_stage::Sent;
    // Whether the server refused the connection, so that nothing listens there.
    bool isRefused = false;
    std::string reason;
};

using client_result = std::variant<response, client_failure>;
using client_handler = std::function<void(client_result)>;

struct client_settings {
    std::chrono::milliseconds connectTimeout{1000};
    // A response above this is a failure.
    std::uint64_t maxBodyBytes = 15U << 20U;
    // An idle connection is not used again after this, where the server states no shorter time.
    std::chrono::milliseconds maxIdle{6000};
    // A connection is given up this long before the server's stated timeout, since a request that
    // crosses the server's close may or may not have run.
    std::chrono::milliseconds idleMargin{1500};
    // Shared by connections of one loop; absent where nothing bounds them together.
    std::shared_ptr<receive_budget> budget;
};

// The header by which the response to a request is known, and its value.
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

    // Sends a request, and connects first where that is still to be done. The handler is called
    // once, unless close() comes first. A response of another identity is skipped. Where
    // `mayStart` is false right before the first byte, nothing is sent and the request fails.
    void send(const request &sent,
              response_identity expected,
              std::function<bool()> mayStart,
              client_handler handler);

    // Closes at once. The handler of a request under way is not called.
    void close();

    // Returns true where the connection is open, idle and younger than its idle limit.
    bool isReusable() const;
    bool wasUsed() const;

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void writeRequest();
    void readMore();
    void handleRead(const boost::system::error_code &failure, std::size_t size);
    void parse();
    void finishResponse();
    // Returns false where the response takes more memory than there is for all.
    bool holdReceived(std::size_t size);
    void releaseReceived();
    // Counts a response that is not the own one, and fails where there are too many.
    void skipResponse();
    void deliver(client_result result);
    void fail(const std::string &reason, bool isRefused);
    void noteIdleLimit(const header_list &headers);

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
    // Bytes received for the request under way.
    std::uint64_t m_received = 0;
    bool m_isHead = false;
    bool m_isOpen = false;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    bool m_wasUsed = false;
    bool m_keepsAlive = true;
    core::monotonic_time m_idleSince;
    std::chrono::milliseconds m_idleLimit;
};

} // namespace jackdawweir::http
