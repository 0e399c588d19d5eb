#include "jackdawweir/http/client_connection.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "http/bounded_parse.h"
#include "jackdawweir/http/status.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::http {

namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t readBytes = std::size_t{16} * 1024;

// The limit for interim responses and late responses to earlier requests before the expected one.
constexpr std::size_t maxSkippedResponses = 16;

// The limit for refusals on one connection, of which each is remembered.
constexpr std::size_t maxRefusals = 32;

// Returns true if one of these header lines begins with a blank. The parser would add such a line
// to the value of the header before it.
bool hasFoldedLine(const boost::asio::const_buffer &input)
{
    const absl::string_view bytes(static_cast<const char *>(input.data()), input.size());
    for (const absl::string_view line : absl::StrSplit(bytes, '\n')) {
        if (line == "\r") {
            return false;
        }
        if (absl::StartsWith(line, " ") || absl::StartsWith(line, "\t")) {
            return true;
        }
    }
    return false;
}

} // namespace

client_connection::client_connection(boost::asio::io_context &context,
                                     core::endpoint server,
                                     const client_settings &settings,
                                     const core::clock &clock)
    : m_socket(context)
    , m_timer(context)
    , m_server(std::move(server))
    , m_settings(settings)
    , m_clock(clock)
    , m_received(settings.budget, core::memory_use::ServerResponse)
    , m_idleLimit(settings.maxIdle)
{
}

void client_connection::send(const request &sent,
                             response_identity expected,
                             std::function<bool()> mayStart,
                             client_handler handler)
{
    m_output = serialize(sent);
    m_isHead = sent.method == "HEAD";
    m_expected = std::move(expected);
    m_mayStart = std::move(mayStart);
    m_handler = std::move(handler);
    m_stage = send_stage::NotSent;
    m_skipped = 0;
    m_parser.reset();
    if (m_isOpen) {
        m_wasReused = true;
        writeRequest();
    } else {
        connect();
    }
}

void client_connection::connect()
{
    const core::result<boost::asio::ip::tcp::endpoint> address = transport::parseEndpoint(m_server);
    if (const core::error *failure = core::errorIn(address)) {
        fail(failure->message, false);
        return;
    }
    m_timer.expires_after(m_settings.connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const error_code &failure) {
        if (!failure && !self->m_isOpen) {
            self->fail("the connection timed out", false);
        }
    });
    m_socket.async_connect(
        core::valueIn(address), [self = shared_from_this()](const error_code &failure) {
            if (self->m_isClosed) {
                return;
            }
            self->m_timer.cancel();
            if (failure) {
                self->fail(failure.message(), failure == boost::asio::error::connection_refused);
                return;
            }
            self->m_isOpen = true;
            error_code ignored;
            self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            self->writeRequest();
            self->readMore();
        });
}

void client_connection::writeRequest()
{
    if (!m_mayStart()) {
        fail("the request may no longer be sent", false);
        return;
    }
    m_stage = send_stage::Sent;
    m_isWriting = true;
    boost::asio::async_write(m_socket,
                             boost::asio::buffer(m_output),
                             [self = shared_from_this()](const error_code &failure, std::size_t) {
                                 self->m_isWriting = false;
                                 if (failure && !self->m_isClosed) {
                                     self->handleWriteFailure(failure);
                                 }
                             });
}

// The request goes on until the read ends, since the server may have sent a response before.
void client_connection::handleWriteFailure(const error_code &failure)
{
    m_keepsAlive = false;
    // A broken pipe means that the end of the server's bytes arrived before the reset.
    if (failure != boost::asio::error::broken_pipe) {
        m_writeFailure = failure;
    }
}

// Keeps a read pending at all times, so that a connection that the server closes is not reused.
void client_connection::readMore()
{
    if (m_isReading || m_isClosed) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(
        m_input.prepare(readBytes),
        [self = shared_from_this()](const error_code &failure, std::size_t size) {
            self->m_isReading = false;
            if (!self->m_isClosed) {
                self->handleRead(failure, size);
            }
        });
}

void client_connection::handleRead(const error_code &failure, std::size_t size)
{
    if (m_handler == nullptr) {
        close();
        return;
    }
    if (failure) {
        // If the write got the error of the connection, its handler is queued by now.
        boost::asio::post(m_socket.get_executor(),
                          [self = shared_from_this(), failure] { self->handleEnd(failure); });
        return;
    }
    m_input.commit(size);
    if (!reserveReceived(size)) {
        fail("the responses being received exceed the memory limit", false);
        return;
    }
    parse();
    readMore();
}

// Ends the request once no more bytes arrive. The kernel reports a reset to one call only: if that
// was the write, the read reports the end of the connection as if the server had closed it.
void client_connection::handleEnd(const error_code &failure)
{
    if (m_isClosed) {
        return;
    }
    const error_code reason = m_writeFailure ? m_writeFailure : failure;
    if (reason == boost::asio::error::eof && m_parser && m_parser->is_header_done()) {
        error_code incomplete;
        m_parser->put_eof(incomplete);
        m_keepsAlive = false;
        if (!incomplete && m_parser->is_done()) {
            finishResponse();
        }
    }
    if (!m_isClosed) {
        fail(reason.message(), false);
    }
}

// Small responses are always received, so that large ones can't keep them out.
bool client_connection::reserveReceived(std::size_t size)
{
    constexpr std::uint64_t alwaysAccepted = std::uint64_t{1} << 20U;
    const std::uint64_t received = m_received.bytes() + size;
    const bool isPermitted = m_settings.budget == nullptr || received <= alwaysAccepted
        || m_settings.budget->permits(core::memory_use::ServerResponse, size, m_received.bytes());
    m_received.resize(received);
    return isPermitted;
}

void client_connection::parse()
{
    while (m_input.size() > 0 && m_handler != nullptr && !m_isClosed) {
        if (!m_parser) {
            m_parser.emplace();
            m_parser->body_limit(m_settings.maxBodyBytes);
            m_parser->skip(m_isHead);
        }
        if (!m_parser->is_header_done() && hasFoldedLine(m_input.data())) {
            fail("the response has a header line that begins with a blank", false);
            return;
        }
        const error_code failure = internal::feed(*m_parser, m_input, m_settings.maxBodyBytes);
        if (failure) {
            fail(failure.message(), false);
            return;
        }
        if (!m_parser->is_done()) {
            return;
        }
        finishResponse();
    }
}

void client_connection::finishResponse()
{
    auto message = m_parser->release();
    m_parser.reset();
    if (!status::isValid(message.result_int())) {
        fail("the response has no valid status", false);
        return;
    }
    if (status::isInterim(message.result_int())) {
        skipResponse();
        return;
    }
    response received;
    received.status = message.result_int();
    for (const auto &field : message) {
        received.headers.push_back(
            header{std::string(field.name_string()), std::string(field.value())});
    }
    received.body = std::move(message.body());
    const std::string *identity = findHeader(received.headers, m_expected.header);
    const bool isLate = identity == nullptr ? m_wasReused : *identity != m_expected.value;
    if (isLate) {
        // A second response to an earlier request; the expected one follows.
        skipResponse();
        return;
    }
    // If the request is still being written, the server has yet to read the rest of its body.
    m_keepsAlive = m_keepsAlive && message.keep_alive() && !m_isWriting && m_input.size() == 0;
    updateIdleLimit(received.headers);
    deliver(std::move(received));
}

void client_connection::skipResponse()
{
    if (++m_skipped > maxSkippedResponses) {
        fail("too many responses to other requests", false);
    }
}

void client_connection::updateIdleLimit(const header_list &headers)
{
    m_idleLimit = m_settings.maxIdle;
    const std::string *stated = findHeader(headers, "Keep-Alive");
    if (stated == nullptr) {
        return;
    }
    constexpr std::string_view timeoutKey = "timeout=";
    const std::size_t found = stated->find(timeoutKey);
    int seconds = 0;
    if (found == std::string::npos
        || !absl::SimpleAtoi(
            std::vector<std::string>(
                absl::StrSplit(stated->substr(found + timeoutKey.size()), absl::ByAnyChar(", ")))
                .front(),
            &seconds)) {
        return;
    }
    const std::chrono::milliseconds limit = std::chrono::seconds(seconds) - m_settings.idleMargin;
    m_idleLimit = std::min(m_idleLimit, std::max(limit, std::chrono::milliseconds(0)));
}

// An idle connection keeps no memory. Bytes that are still being written have to stay.
void client_connection::releaseBuffers()
{
    if (!m_isWriting) {
        std::string().swap(m_output);
    }
    if (m_input.size() == 0 && !m_isReading) {
        m_input.shrink_to_fit();
    }
}

void client_connection::deliver(client_result result)
{
    const client_handler handler = std::exchange(m_handler, nullptr);
    m_idleSince = m_clock.monotonicNow();
    releaseBuffers();
    m_received.resize(0);
    if (!m_keepsAlive) {
        close();
    }
    if (handler) {
        handler(std::move(result));
    }
}

void client_connection::fail(const std::string &reason, bool isRefused)
{
    m_keepsAlive = false;
    deliver(client_failure{m_stage, isRefused, reason});
}

void client_connection::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_isOpen = false;
    m_handler = nullptr;
    m_received.resize(0);
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

bool client_connection::isReusable() const
{
    return m_isOpen && !m_isClosed && m_handler == nullptr && m_keepsAlive && m_input.size() == 0
        && m_clock.monotonicNow() < m_idleSince + m_idleLimit;
}

bool client_connection::isReusableFor(const response_identity &expected) const
{
    return isReusable() && !expected.value.empty() && !m_refused.contains(expected.value);
}

void client_connection::recordRefusal()
{
    m_refused.insert(m_expected.value);
    m_keepsAlive = m_keepsAlive && m_refused.size() < maxRefusals;
}

bool client_connection::wasReused() const
{
    return m_wasReused;
}

} // namespace jackdawweir::http
