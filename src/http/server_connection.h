// One connection of a caller. Pipelined requests are handled concurrently, and their responses are
// sent in the order of the requests.

#pragma once

#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "jackdawweir/http/listener.h"

namespace jackdawweir::http::internal {

class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(listener &owner, boost::asio::ip::tcp::socket socket);

    void start();
    void respond(const exchange &answered, response sent);
    // Reads no further request and closes the connection once the open ones are answered. A request
    // that is being read, or the first one of a new connection, is still answered.
    void drain();
    void close();

    std::size_t openRequests() const;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    // A request whose response has not been written yet.
    struct open_request {
        std::shared_ptr<exchange> open;
        bool keepsAlive = true;
        bool isHead = false;
        std::optional<response> answer;
    };

    void readMore();
    void handleRead(const boost::system::error_code &failure, std::size_t size);
    bool mayParse() const;
    bool awaitsFirstRequest() const;
    void parse();
    void beginRequest();
    void sendContinueIfExpected();
    void finishRequest();
    void refuse(unsigned status);
    void flush();
    void write();
    void handleWritten(const boost::system::error_code &failure);
    void startLingeringClose();
    void startTimer(std::chrono::milliseconds limit);
    void handleTimeout();

    listener *m_owner;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_acceptedAt = std::chrono::steady_clock::now();
    // Receives the bytes of each read before they are copied to m_input: a read is always pending,
    // and m_input moves its bytes when some are consumed.
    std::array<char, std::size_t{8} * 1024> m_chunk;
    boost::beast::flat_buffer m_input;
    std::optional<request_parser> m_parser;
    std::deque<open_request> m_open;
    // Bytes to send after the current write, and the bytes being written.
    std::string m_pending;
    std::string m_output;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_hasSentContinue = false;
    bool m_hasReadRequest = false;
    // The request that is being read, or the next one, is the last.
    bool m_closesAfterNext = false;
    // No further request is read; the connection closes after the last response.
    bool m_isDraining = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
};

} // namespace jackdawweir::http::internal
