#include "http/server_connection.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "http/bounded_parse.h"
#include "jackdawweir/http/status.h"

namespace jackdawweir::http::internal {

namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

// The limit for pipelined requests that are handled concurrently.
constexpr std::size_t maxPipelinedRequests = 16;

// Further pipelined requests are buffered up to this size.
constexpr std::size_t maxPipelinedBytes = std::size_t{64} * 1024;

// After the last response the connection is still read for this long before it is closed. Closing a
// socket with unread bytes resets the connection, and the caller would lose the response.
constexpr std::chrono::milliseconds lingerTime{300};

// A connection that was accepted less than this ago is not drained before its first request, which
// may be on its way from another data centre.
constexpr std::chrono::milliseconds firstRequestTime{300};

header_list headersOf(const beast_http::fields &fields)
{
    header_list headers;
    for (const auto &field : fields) {
        headers.push_back(header{std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

std::shared_ptr<core::memory_budget> budgetOf(const listener_settings &settings)
{
    return settings.guard == nullptr ? nullptr : settings.guard->budget();
}

std::uint64_t sizeOf(const header_list &headers)
{
    std::uint64_t bytes = 0;
    for (const header &each : headers) {
        bytes += each.name.size() + each.value.size();
    }
    return bytes;
}

std::uint64_t sizeOf(const beast_http::fields &fields)
{
    std::uint64_t bytes = 0;
    for (const auto &field : fields) {
        bytes += field.name_string().size() + field.value().size();
    }
    return bytes;
}

std::uint64_t sizeOf(const response &sent)
{
    return sizeOf(sent.headers) + sent.body.size();
}

// Gives the memory of a large text back, and keeps that of a small one for the next use.
void release(std::string &text)
{
    constexpr std::size_t keptBytes = std::size_t{4} * 1024;
    if (text.capacity() > keptBytes) {
        // An assigned empty text would leave the memory with its target.
        std::string().swap(text);
    } else {
        text.clear();
    }
}

unsigned statusFor(const error_code &failure)
{
    if (failure == beast_http::error::header_limit) {
        return status::headersTooLarge;
    }
    return failure == beast_http::error::body_limit ? status::contentTooLarge : status::badRequest;
}

} // namespace

server_connection::server_connection(listener &owner, boost::asio::ip::tcp::socket socket)
    : m_owner(&owner)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_requestClaim(budgetOf(owner.m_settings), core::memory_use::CallerRequest)
    , m_responseClaim(budgetOf(owner.m_settings), core::memory_use::CallerResponse)
{
}

server_connection::~server_connection() = default;

void server_connection::start()
{
    error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    if (m_owner->m_settings.guard != nullptr) {
        m_owner->m_settings.guard->m_connections.insert(this);
    }
    startTimer(m_owner->m_settings.idleTimeout);
    readMore();
}

std::size_t server_connection::openRequests() const
{
    return m_open.size() + (m_isWriting ? 1 : 0);
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
    const bool hasPartOfRequest = m_parser.has_value();
    if (openRequests() > 0) {
        if (hasPartOfRequest) {
            startTimer(m_owner->m_settings.requestTimeout);
        }
        return;
    }
    if (!hasPartOfRequest || m_isLingering) {
        close();
        return;
    }
    refuse(status::requestTimeout);
}

// Waits for bytes at all times, also while requests are open, to detect that the caller
// disconnects. The buffer is shared by all connections, since most of them are idle.
void server_connection::readMore()
{
    if (m_isReading || m_isClosed || (!mayParse() && m_input.size() >= maxPipelinedBytes)) {
        return;
    }
    m_isReading = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const error_code &failure) {
                            self->m_isReading = false;
                            self->handleReadable(failure);
                        });
}

void server_connection::handleReadable(const error_code &failure)
{
    if (m_isClosed) {
        return;
    }
    if (failure) {
        close();
        return;
    }
    error_code ended;
    const std::size_t size = m_socket.read_some(boost::asio::buffer(m_owner->m_readBuffer), ended);
    if (ended == boost::asio::error::would_block) {
        readMore();
        return;
    }
    handleRead(ended, m_owner->m_readBuffer.data(), size);
}

void server_connection::handleRead(const error_code &failure, const char *bytes, std::size_t size)
{
    if (failure) {
        close();
        return;
    }
    // A draining connection parses no further request.
    if (!m_isLingering && !m_isDraining) {
        m_input.commit(
            boost::asio::buffer_copy(m_input.prepare(size), boost::asio::buffer(bytes, size)));
        parse();
        updateClaims();
    }
    readMore();
}

bool server_connection::mayParse() const
{
    return !m_isClosed && !m_isDraining && m_open.size() < maxPipelinedRequests;
}

bool server_connection::awaitsFirstRequest() const
{
    return !m_hasReadRequest && std::chrono::steady_clock::now() < m_acceptedAt + firstRequestTime;
}

void server_connection::parse()
{
    while (mayParse() && m_input.size() > 0) {
        if (!m_parser) {
            beginRequest();
        }
        const error_code failure = feed(*m_parser, m_input, m_owner->m_settings.maxBodyBytes);
        if (failure) {
            refuse(statusFor(failure));
            return;
        }
        if (m_headerBytes == 0 && m_parser->is_header_done()) {
            m_headerBytes = sizeOf(m_parser->get().base());
        }
        if (!m_parser->is_done()) {
            sendContinueIfExpected();
            return;
        }
        finishRequest();
    }
}

void server_connection::beginRequest()
{
    m_parser.emplace();
    m_parser->header_limit(m_owner->m_settings.maxHeaderBytes);
    m_parser->body_limit(m_owner->m_settings.maxBodyBytes);
    m_hasSentContinue = false;
    m_headerBytes = 0;
    m_requestBegunAt = std::chrono::steady_clock::now();
    startTimer(m_owner->m_settings.requestTimeout);
}

void server_connection::sendContinueIfExpected()
{
    if (!m_parser->is_header_done() || m_hasSentContinue || openRequests() > 0) {
        return;
    }
    const auto expected = m_parser->get()[beast_http::field::expect];
    if (absl::EqualsIgnoreCase({expected.data(), expected.size()}, "100-continue")) {
        m_hasSentContinue = true;
        m_pending.append("HTTP/1.1 100 Continue\r\n\r\n");
        write();
    }
}

void server_connection::finishRequest()
{
    m_timer.cancel();
    auto message = m_parser->release();
    m_parser.reset();
    request received;
    received.method = std::string(message.method_string());
    received.target = std::string(message.target());
    received.headers = headersOf(message);
    received.body = std::move(message.body());
    const std::uint64_t bytes
        = received.target.size() + sizeOf(received.headers) + received.body.size();
    if (!hasMemoryFor(bytes)) {
        m_owner->m_settings.guard->m_handler(shed_caller{shed_reason::RefusedRequest, bytes});
        refuse(status::unavailable);
        return;
    }
    open_request begun;
    begun.requestBytes = bytes;
    m_openBytes += bytes;
    begun.open = std::make_shared<exchange>(weak_from_this(), std::move(received));
    begun.keepsAlive = message.keep_alive();
    begun.isHead = message.method() == beast_http::verb::head;
    m_hasReadRequest = true;
    m_isDraining = !begun.keepsAlive || m_closesAfterNext;
    m_open.push_back(begun);
    updateClaims();
    m_owner->m_handler(begun.open);
}

// Takes back unfinished requests of others if needed. Small requests always get memory, so that
// large ones can't keep them out.
bool server_connection::hasMemoryFor(std::uint64_t bytes)
{
    constexpr std::uint64_t alwaysAccepted = std::uint64_t{8} * 1024;
    caller_guard *guard = m_owner->m_settings.guard;
    if (guard == nullptr || bytes <= alwaysAccepted) {
        return true;
    }
    updateClaims();
    return guard->makeRoomFor(bytes, *this);
}

std::uint64_t server_connection::unfinishedBytes() const
{
    const std::uint64_t parsed = m_parser ? m_headerBytes + m_parser->get().body().size() : 0;
    return parsed + m_input.capacity();
}

std::optional<server_connection::time_point> server_connection::unfinishedSince() const
{
    const bool isUnfinished = !m_isDraining && (m_parser || m_input.size() > 0);
    return isUnfinished ? std::optional(m_requestBegunAt) : std::nullopt;
}

std::uint64_t server_connection::unreadBytes() const
{
    return m_pending.size() + m_output.size() + m_answerBytes;
}

std::optional<server_connection::time_point> server_connection::unreadSince() const
{
    return m_unreadSince;
}

std::optional<server_connection::time_point> server_connection::waitsForCallerSince() const
{
    if (m_isWriting) {
        return m_unreadSince;
    }
    if (!m_open.empty()) {
        return std::nullopt;
    }
    return m_parser ? m_requestBegunAt : m_idleSince;
}

void server_connection::updateClaims()
{
    m_requestClaim.resize(m_isClosed ? 0 : m_openBytes + unfinishedBytes());
    m_responseClaim.resize(m_isClosed ? 0 : unreadBytes());
}

void server_connection::refuseUnfinished()
{
    refuse(status::unavailable);
    updateClaims();
}

// Answers a malformed or incomplete request, or one that exceeds a limit. The connection is closed
// after it.
void server_connection::refuse(unsigned status)
{
    m_parser.reset();
    m_input.consume(m_input.size());
    m_input.shrink_to_fit();
    m_timer.cancel();
    open_request refused;
    refused.keepsAlive = false;
    refused.answer = response{status, {}, "", true};
    if (status == status::unavailable) {
        refused.answer->headers.push_back(header{"Retry-After", "1"});
    }
    m_isDraining = true;
    m_open.push_back(std::move(refused));
    flush();
}

void server_connection::respond(const exchange &answered, response sent)
{
    const auto found = std::find_if(m_open.begin(), m_open.end(), [&](const open_request &each) {
        return each.open.get() == &answered;
    });
    if (m_isClosed || found == m_open.end()) {
        return;
    }
    m_openBytes -= std::exchange(found->requestBytes, 0);
    m_answerBytes += sizeOf(sent);
    found->answer = std::move(sent);
    flush();
    if (m_answerBytes > 0 && !m_unreadSince) {
        m_unreadSince = std::chrono::steady_clock::now();
    }
    updateClaims();
    // At once, since the caller of this function may go on with the responses to many others.
    if (m_owner->m_settings.guard != nullptr) {
        m_owner->m_settings.guard->enforce();
    }
}

// Writes the responses that are ready, in the order of the requests.
void server_connection::flush()
{
    while (!m_open.empty() && m_open.front().answer) {
        open_request &first = m_open.front();
        response &sent = *first.answer;
        const bool isLast = m_open.size() == 1;
        sent.closesConnection
            = !first.keepsAlive || (isLast && (sent.closesConnection || m_isDraining));
        m_isDraining = m_isDraining || sent.closesConnection;
        m_answerBytes -= first.open == nullptr ? 0 : sizeOf(sent);
        appendResponse(m_pending, sent, first.isHead);
        m_open.pop_front();
    }
    write();
}

void server_connection::write()
{
    if (m_isWriting || m_pending.empty()) {
        return;
    }
    m_output = std::exchange(m_pending, {});
    m_isWriting = true;
    if (!m_unreadSince) {
        m_unreadSince = std::chrono::steady_clock::now();
    }
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
    release(m_output);
    if (!m_pending.empty()) {
        write();
        updateClaims();
        return;
    }
    if (m_answerBytes == 0) {
        m_unreadSince.reset();
    }
    if (m_open.empty() && m_isDraining) {
        startLingeringClose();
        return;
    }
    if (m_open.empty() && !m_parser) {
        becomeIdle();
    }
    parse();
    updateClaims();
    readMore();
}

void server_connection::becomeIdle()
{
    if (m_input.size() == 0) {
        m_input.shrink_to_fit();
    }
    m_idleSince = std::chrono::steady_clock::now();
    startTimer(m_owner->m_settings.idleTimeout);
    m_owner->acceptNext();
}

void server_connection::startLingeringClose()
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
    if (m_isLingering) {
        return;
    }
    if (m_parser || awaitsFirstRequest()) {
        m_closesAfterNext = true;
        return;
    }
    m_isDraining = true;
    if (openRequests() == 0) {
        startLingeringClose();
    }
}

// A connection that is closed may live on until its last operation has ended, which no longer reads
// the bytes that it had to write.
void server_connection::releaseMemory()
{
    m_parser.reset();
    m_input.consume(m_input.size());
    m_input.shrink_to_fit();
    release(m_pending);
    release(m_output);
    updateClaims();
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
    if (m_owner->m_settings.guard != nullptr) {
        m_owner->m_settings.guard->m_connections.erase(this);
    }
    releaseMemory();
    m_owner->acceptNext();
    reportDisconnect(m_timer.get_executor(), std::exchange(m_open, {}));
}

// The handlers are called later: a connection may be closed while another one is answered.
void server_connection::reportDisconnect(const boost::asio::any_io_executor &executor,
                                         const std::deque<open_request> &left)
{
    for (const open_request &each : left) {
        if (each.open == nullptr || each.answer) {
            continue;
        }
        each.open->m_isDisconnected = true;
        if (std::function<void()> handler
            = std::exchange(each.open->m_disconnectHandler, nullptr)) {
            boost::asio::post(executor, std::move(handler));
        }
    }
}

} // namespace jackdawweir::http::internal
