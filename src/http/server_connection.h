// One connection of a caller.

#pragma once

#include <array>
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
    void respond(exchange &answered, const response &sent);
    // Closes an idle connection, or has the next response close it.
    void drain();
    void close();

    bool hasOpenRequest() const;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void readMore();
    void handleRead(const boost::system::error_code &failure, std::size_t size);
    void parse();
    void continueBody();
    void finishRequest();
    void refuse(const boost::system::error_code &failure);
    void write(std::string bytes, bool closes);
    void handleWritten(const boost::system::error_code &failure);
    void closeAfterPeer();
    void startTimer(std::chrono::milliseconds limit);
    void handleTimeout();

    listener *m_owner;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    // Reads go here first: the buffer moves its bytes when some are consumed, and a read is always
    // under way.
    std::array<char, std::size_t{8} * 1024> m_chunk;
    boost::beast::flat_buffer m_input;
    std::optional<request_parser> m_parser;
    std::shared_ptr<exchange> m_open;
    std::string m_output;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isHead = false;
    bool m_keepsAlive = true;
    bool m_hasContinued = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
};

} // namespace jackdawweir::http::internal
