#include "jackdawweir/proxy/http_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <string>
#include <utility>

#include <microhttpd.h>

#include <absl/strings/numbers.h>

namespace jackdawweir::proxy {

namespace {

// Idle keep-alive connections are closed after this time.
constexpr unsigned idleTimeoutSeconds = 60;

// The thread of a connection only handles one request and response at a time and calls libcurl. The
// default stack of 8 MB for each connection would exceed the memory of a node.
constexpr std::size_t threadStackBytes = std::size_t{256} * 1024;

constexpr unsigned statusTooLarge = 413;

// The parts of a request that are collected until it is complete.
struct request_in_progress {
    http_request request;
    bool tooLarge = false;
};

MHD_Result addHeader(void *target, enum MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    auto *headers = static_cast<http_headers *>(target);
    headers->push_back(http_header{name, value == nullptr ? "" : value});
    return MHD_YES;
}

std::string addressOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr->sa_family != AF_INET) {
        return {};
    }
    const auto *address = reinterpret_cast<const sockaddr_in *>(info->client_addr);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
    return text.data();
}

core::result<sockaddr_in> socketAddress(const core::endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const std::size_t colon = endpoint.value.rfind(':');
    std::uint32_t port = 0;
    const bool valid = colon != std::string::npos
        && inet_pton(AF_INET, endpoint.value.substr(0, colon).c_str(), &address.sin_addr) == 1
        && absl::SimpleAtoi(endpoint.value.substr(colon + 1), &port) && port <= UINT16_MAX;
    if (!valid) {
        return core::error{core::error_code::InvalidArgument,
                           "parse-endpoint",
                           endpoint.value,
                           "expected IP:PORT"};
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

} // namespace

struct http_listener::state {
    core::endpoint address;
    http_handler handler;
    MHD_Daemon *daemon = nullptr;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> inFlight{0};
    std::mutex mutex;
    std::condition_variable allAnswered;

    static void *beginRequest(void *self, const char *uri, MHD_Connection *)
    {
        auto *progress = new request_in_progress;
        progress->request.target = uri;
        ++static_cast<state *>(self)->inFlight;
        return progress;
    }

    static void
    completeRequest(void *self, MHD_Connection *, void **progress, enum MHD_RequestTerminationCode)
    {
        auto *finished = static_cast<request_in_progress *>(*progress);
        if (finished == nullptr) {
            return;
        }
        *progress = nullptr;
        delete finished;
        auto *owner = static_cast<state *>(self);
        if (--owner->inFlight == 0 && owner->stopping) {
            const std::lock_guard guard(owner->mutex);
            owner->allAnswered.notify_all();
        }
    }

    static MHD_Result handleRequest(void *self,
                                    MHD_Connection *connection,
                                    const char *,
                                    const char *method,
                                    const char *,
                                    const char *upload,
                                    std::size_t *uploadBytes,
                                    void **progress)
    {
        auto *received = static_cast<request_in_progress *>(*progress);
        http_request &request = received->request;
        if (request.method.empty()) {
            request.method = method;
            return MHD_YES;
        }
        if (*uploadBytes > 0) {
            received->tooLarge |= request.body.size() + *uploadBytes > maxRequestBodyBytes;
            if (!received->tooLarge) {
                request.body.append(upload, *uploadBytes);
            }
            *uploadBytes = 0;
            return MHD_YES;
        }
        MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, &request.headers);
        request.callerAddress = addressOf(connection);
        auto *owner = static_cast<state *>(self);
        const http_response response = received->tooLarge
            ? http_response{statusTooLarge, {}, "request body too large\n"}
            : owner->handler(request);
        return owner->respond(connection, response);
    }

    MHD_Result respond(MHD_Connection *connection, const http_response &response) const
    {
        MHD_Response *sent = MHD_create_response_from_buffer(
            response.body.size(), const_cast<char *>(response.body.data()), MHD_RESPMEM_MUST_COPY);
        for (const http_header &each : response.headers) {
            MHD_add_response_header(sent, each.name.c_str(), each.value.c_str());
        }
        if (stopping) {
            MHD_add_response_header(sent, "Connection", "close");
        }
        const MHD_Result queued = MHD_queue_response(connection, response.status, sent);
        MHD_destroy_response(sent);
        return queued;
    }
};

http_listener::http_listener(core::endpoint address, http_handler handler)
    : m_state(std::make_unique<state>())
{
    m_state->address = std::move(address);
    m_state->handler = std::move(handler);
}

http_listener::~http_listener()
{
    if (m_state->daemon != nullptr) {
        MHD_stop_daemon(m_state->daemon);
    }
}

core::status http_listener::start()
{
    const core::result<sockaddr_in> address = socketAddress(m_state->address);
    if (const core::error *failure = core::errorIn(address)) {
        return *failure;
    }
    m_state->daemon
        = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION
                               | MHD_USE_POLL | MHD_USE_ITC,
                           0,
                           nullptr,
                           nullptr,
                           &state::handleRequest,
                           m_state.get(),
                           MHD_OPTION_SOCK_ADDR,
                           &core::valueIn(address),
                           MHD_OPTION_LISTENING_ADDRESS_REUSE,
                           1U,
                           MHD_OPTION_URI_LOG_CALLBACK,
                           &state::beginRequest,
                           m_state.get(),
                           MHD_OPTION_NOTIFY_COMPLETED,
                           &state::completeRequest,
                           m_state.get(),
                           MHD_OPTION_CONNECTION_TIMEOUT,
                           idleTimeoutSeconds,
                           MHD_OPTION_THREAD_STACK_SIZE,
                           threadStackBytes,
                           MHD_OPTION_END);
    if (m_state->daemon == nullptr) {
        return core::error{
            core::error_code::Unavailable, "listen", m_state->address.value, std::strerror(errno)};
    }
    return core::okStatus();
}

std::size_t http_listener::requestsInFlight() const
{
    return m_state->inFlight;
}

std::size_t http_listener::shutDown(std::chrono::milliseconds timeout)
{
    if (m_state->daemon == nullptr) {
        return 0;
    }
    m_state->stopping = true;
    const MHD_socket listening = MHD_quiesce_daemon(m_state->daemon);
    if (listening != MHD_INVALID_SOCKET) {
        ::close(listening);
    }
    {
        std::unique_lock guard(m_state->mutex);
        m_state->allAnswered.wait_for(guard, timeout, [this] { return m_state->inFlight == 0; });
    }
    const std::size_t aborted = m_state->inFlight;
    MHD_stop_daemon(m_state->daemon);
    m_state->daemon = nullptr;
    return aborted;
}

} // namespace jackdawweir::proxy
