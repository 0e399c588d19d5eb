#include "http/server_connection.h"

#include <utility>

#include <absl/strings/match.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

namespace jackdawweir::http::internal {

namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

// Requests that a caller sends ahead of their turn are buffered up to this size.
constexpr std::size_t maxAheadBytes = std::size_t{64} * 1024;

// After a refusal the rest of the caller's request is read for this long, since closing a socket
// with unread bytes resets it and the caller would lose the response.
constexpr std::chrono::milliseconds lingerTime{300};

constexpr unsigned badRequest = 400;
constexpr unsigned contentTooLarge = 413;
constexpr unsigned headersTooLarge = 431;
constexpr unsigned requestTimedOut = 408;

header_list headersOf(const beast_http::fields &fields)
{
    header_list headers;
    for (const auto &field : fields) {
        headers.push_back(header{std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

unsigned statusFor(const error_code &failure)
{
    if (failure == beast_http::error::header_limit) {
        return headersTooLarge;
    }
    return failure == beast_http::error::body_limit ? contentTooLarge : badRequest;
}

} // namespace

server_connection::server_connection(listener &owner, boost::asio::ip::tcp::socket socket)
    : m_owner(&owner)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
}

void server_connection::start()
{
    error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    startTimer(m_owner->m_settings.idleTimeout);
    readMore();
}

bool server_connection::hasOpenRequest() const
{
    return m_open != nullptr || m_isWriting;
}

void server_connection::startTimer(std::chrono::milliseconds limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](const error_code &failure) {
        if (!failure && !self->m_isClosed) {
            self->handleTimeout();
        }
    });
}

void server_connection::handleTimeout()
{
    if (m_open != nullptr || m_isWriting) {
        return;
    }
    const bool hasPartOfRequest = m_parser.has_value();
    if (!hasPartOfRequest || m_isLingering) {
        close();
        return;
    }
    m_parser.reset();
    write(serialize(response{requestTimedOut, {}, "", true}, false), true);
}

// Reads all the time, also while a request is open, so that a caller that leaves is noticed.
void server_connection::readMore()
{
    if (m_isReading || m_isClosed) {
        return;
    }
    if (hasOpenRequest() && m_input.size() >= maxAheadBytes) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(
        boost::asio::buffer(m_chunk),
        [self = shared_from_this()](const error_code &failure, std::size_t size) {
            self->m_isReading = false;
            self->handleRead(failure, size);
        });
}

void server_connection::handleRead(const error_code &failure, std::size_t size)
{
    if (m_isClosed) {
        return;
    }
    if (failure) {
        close();
        return;
    }
    m_input.commit(
        boost::asio::buffer_copy(m_input.prepare(size), boost::asio::buffer(m_chunk, size)));
    if (m_isLingering) {
        m_input.consume(m_input.size());
    } else if (!hasOpenRequest()) {
        parse();
    }
    readMore();
}

void server_connection::parse()
{
    if (m_input.size() == 0 || m_isClosed) {
        return;
    }
    if (!m_parser) {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(m_owner->m_settings.maxHeaderBytes);
        m_parser->body_limit(m_owner->m_settings.maxBodyBytes);
        m_hasContinued = false;
        startTimer(m_owner->m_settings.requestTimeout);
    }
    error_code failure;
    const std::size_t used = m_parser->put(m_input.data(), failure);
    m_input.consume(used);
    if (failure && failure != beast_http::error::need_more) {
        refuse(failure);
        return;
    }
    if (m_parser->is_done()) {
        finishRequest();
    } else if (m_parser->is_header_done()) {
        continueBody();
    }
}

void server_connection::continueBody()
{
    const auto &fields = m_parser->get();
    if (m_hasContinued
        || !absl::EqualsIgnoreCase(std::string(fields[beast_http::field::expect]),
                                   "100-continue")) {
        return;
    }
    m_hasContinued = true;
    auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    boost::asio::async_write(
        m_socket,
        boost::asio::buffer(*text),
        [self = shared_from_this(), text](const error_code &failure, std::size_t) {
            if (failure) {
                self->close();
            }
        });
}

void server_connection::finishRequest()
{
    m_timer.cancel();
    auto message = m_parser->release();
    m_parser.reset();
    m_keepsAlive = message.keep_alive();
    m_isHead = message.method() == beast_http::verb::head;
    request received;
    received.method = std::string(message.method_string());
    received.target = std::string(message.target());
    received.headers = headersOf(message);
    received.body = std::move(message.body());
    const std::shared_ptr<exchange> open
        = std::make_shared<exchange>(weak_from_this(), std::move(received));
    m_open = open;
    m_owner->m_handler(open);
}

void server_connection::refuse(const error_code &failure)
{
    m_parser.reset();
    m_timer.cancel();
    write(serialize(response{statusFor(failure), {}, "", true}, false), true);
}

void server_connection::respond(exchange &answered, const response &sent)
{
    if (m_isClosed || m_open.get() != &answered) {
        return;
    }
    m_open.reset();
    response final = sent;
    final.closes = final.closes || !m_keepsAlive || m_owner->m_isDraining;
    const bool closes = final.closes;
    write(serialize(final, m_isHead), closes);
}

void server_connection::write(std::string bytes, bool closes)
{
    m_output = std::move(bytes);
    m_isWriting = true;
    m_keepsAlive = !closes;
    boost::asio::async_write(m_socket,
                             boost::asio::buffer(m_output),
                             [self = shared_from_this()](const error_code &failure, std::size_t) {
                                 self->m_isWriting = false;
                                 self->handleWritten(failure);
                             });
}

void server_connection::handleWritten(const error_code &failure)
{
    if (m_isClosed) {
        return;
    }
    if (failure) {
        close();
        return;
    }
    if (!m_keepsAlive) {
        closeAfterPeer();
        return;
    }
    startTimer(m_owner->m_settings.idleTimeout);
    parse();
    readMore();
}

void server_connection::closeAfterPeer()
{
    error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_isLingering = true;
    m_input.consume(m_input.size());
    startTimer(lingerTime);
    readMore();
}

void server_connection::drain()
{
    if (!hasOpenRequest() && !m_parser && m_input.size() == 0 && !m_isLingering) {
        closeAfterPeer();
    }
}

void server_connection::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    const std::shared_ptr<server_connection> self = shared_from_this();
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    m_owner->m_connections.erase(self);
    m_owner->acceptNext();
    if (const std::shared_ptr<exchange> open = std::exchange(m_open, nullptr)) {
        open->m_isGone = true;
        if (open->m_gone) {
            const std::function<void()> handler = std::exchange(open->m_gone, nullptr);
            handler();
        }
    }
}

} // namespace jackdawweir::http::internal
