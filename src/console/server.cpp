#include "jackdawweir/console/server.h"

#include <atomic>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <optional>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include "console/handler.h"
#include "console/http.h"

namespace jackdawweir::console {

namespace {

using internal::http_request;
using internal::http_response;

// Each connection has its own thread, so that a submission that waits for its outcome does not
// delay the announcement of a backend server, whose lease is 1.5 s.
constexpr unsigned maxConnections = 128;
constexpr unsigned idleTimeoutSeconds = 30;
// How long a stopping server waits for in-flight requests.
constexpr std::chrono::seconds stopTimeout{5};

union socket_address {
    sockaddr any;
    sockaddr_in v4;
    sockaddr_in6 v6;
};

std::optional<socket_address> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port)
        || port > UINT16_MAX) {
        return std::nullopt;
    }
    socket_address address;
    std::memset(&address, 0, sizeof address);
    const std::string host = text.substr(0, colon);
    if (inet_pton(AF_INET, host.c_str(), &address.v4.sin_addr) == 1) {
        address.v4.sin_family = AF_INET;
        address.v4.sin_port = htons(static_cast<std::uint16_t>(port));
        return address;
    }
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed
        && inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &address.v6.sin6_addr)
            == 1) {
        address.v6.sin6_family = AF_INET6;
        address.v6.sin6_port = htons(static_cast<std::uint16_t>(port));
        return address;
    }
    return std::nullopt;
}

std::string headerOf(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? "" : value;
}

MHD_Result addQuery(void *target, MHD_ValueKind /*kind*/, const char *key, const char *value)
{
    auto &query = *static_cast<std::map<std::string, std::string> *>(target);
    query[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

void addHeader(MHD_Response *response, const char *name, const std::string &value)
{
    MHD_add_response_header(response, name, value.c_str());
}

MHD_Result queueResponse(MHD_Connection *connection, const http_response &content)
{
    MHD_Response *response = MHD_create_response_from_buffer(
        content.body.size(), const_cast<char *>(content.body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr) {
        return MHD_NO;
    }
    addHeader(response, "Content-Type", content.contentType);
    addHeader(response, "Cache-Control", "no-store");
    addHeader(response, "X-Content-Type-Options", "nosniff");
    addHeader(response,
              "Content-Security-Policy",
              "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "
              "frame-ancestors 'none'");
    if (!content.version.empty()) {
        addHeader(response, "Jackdawweir-Version", content.version);
    }
    const MHD_Result queued = MHD_queue_response(connection, content.status, response);
    MHD_destroy_response(response);
    return queued;
}

} // namespace

struct console_server::state {
    state(std::string token, control_plane &plane)
        : handler(std::move(token), plane)
    {
    }

    MHD_Result startRequest(MHD_Connection *connection, void **request);
    MHD_Result respond(MHD_Connection *connection, http_request &request);
    void finishRequest(void **request);
    void waitForRequests();

    internal::request_handler handler;
    MHD_Daemon *daemon = nullptr;
    std::mutex mutex;
    std::condition_variable requestFinished;
    unsigned inFlight = 0;
};

MHD_Result console_server::state::startRequest(MHD_Connection *connection, void **request)
{
    {
        const std::lock_guard guard(mutex);
        ++inFlight;
    }
    *request = new http_request;
    std::uint64_t length = 0;
    const std::string declared = headerOf(connection, "Content-Length");
    if (absl::SimpleAtoi(declared, &length) && length > internal::maxBodyBytes) {
        return queueResponse(connection,
                             http_response{internal::statusTooLarge,
                                           internal::textType,
                                           "the request body is too large\n",
                                           ""});
    }
    return MHD_YES;
}

MHD_Result console_server::state::respond(MHD_Connection *connection, http_request &request)
{
    request.authorization = headerOf(connection, "Authorization");
    request.submission = headerOf(connection, "Jackdawweir-Submission");
    request.expect = headerOf(connection, "Jackdawweir-Expect");
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addQuery, &request.query);
    return queueResponse(connection, handler.handle(request));
}

void console_server::state::finishRequest(void **request)
{
    if (*request == nullptr) {
        return;
    }
    delete static_cast<http_request *>(*request);
    *request = nullptr;
    const std::lock_guard guard(mutex);
    --inFlight;
    requestFinished.notify_all();
}

void console_server::state::waitForRequests()
{
    std::unique_lock lock(mutex);
    requestFinished.wait_for(lock, stopTimeout, [this] { return inFlight == 0; });
}

namespace {

template<typename State>
MHD_Result onRequest(void *context,
                     MHD_Connection *connection,
                     const char *url,
                     const char *method,
                     const char * /*version*/,
                     const char *upload,
                     std::size_t *uploadSize,
                     void **requestContext)
{
    auto &server = *static_cast<State *>(context);
    if (*requestContext == nullptr) {
        return server.startRequest(connection, requestContext);
    }
    auto &request = *static_cast<http_request *>(*requestContext);
    if (*uploadSize != 0) {
        if (request.body.size() + *uploadSize > internal::maxBodyBytes) {
            return MHD_NO;
        }
        request.body.append(upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    request.method = method;
    request.path = url;
    return server.respond(connection, request);
}

template<typename State>
void onCompleted(void *context,
                 MHD_Connection * /*connection*/,
                 void **requestContext,
                 MHD_RequestTerminationCode /*code*/)
{
    static_cast<State *>(context)->finishRequest(requestContext);
}

core::error startError(core::error_code code, const core::endpoint &address, std::string message)
{
    return core::error{code, "start-console", address.value, std::move(message)};
}

} // namespace

core::result<std::unique_ptr<console_server>>
console_server::start(const core::endpoint &address, std::string token, control_plane &plane)
{
    std::optional<socket_address> bound = parseAddress(address.value);
    if (!bound.has_value()) {
        return startError(core::error_code::InvalidArgument, address, "expected ADDRESS:PORT");
    }
    if (token.empty()) {
        return startError(core::error_code::InvalidArgument, address, "the token is empty");
    }
    auto serverState = std::make_unique<state>(std::move(token), plane);
    unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL
        | MHD_USE_ITC;
    if (bound->any.sa_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    serverState->daemon = MHD_start_daemon(flags,
                                           0,
                                           nullptr,
                                           nullptr,
                                           onRequest<state>,
                                           serverState.get(),
                                           MHD_OPTION_SOCK_ADDR,
                                           &bound->any,
                                           MHD_OPTION_CONNECTION_LIMIT,
                                           maxConnections,
                                           MHD_OPTION_CONNECTION_TIMEOUT,
                                           idleTimeoutSeconds,
                                           MHD_OPTION_NOTIFY_COMPLETED,
                                           onCompleted<state>,
                                           serverState.get(),
                                           MHD_OPTION_END);
    if (serverState->daemon == nullptr) {
        return startError(core::error_code::Unavailable, address, std::strerror(errno));
    }
    return std::unique_ptr<console_server>(new console_server(std::move(serverState)));
}

console_server::console_server(std::unique_ptr<state> serverState)
    : m_state(std::move(serverState))
{
}

console_server::~console_server()
{
    const MHD_socket listener = MHD_quiesce_daemon(m_state->daemon);
    m_state->waitForRequests();
    MHD_stop_daemon(m_state->daemon);
    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
}

std::uint16_t console_server::port() const
{
    const MHD_DaemonInfo *info = MHD_get_daemon_info(m_state->daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? std::uint16_t{0} : info->port;
}

} // namespace jackdawweir::console
