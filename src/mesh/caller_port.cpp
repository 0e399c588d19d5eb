#include "jackdawweir/mesh/caller_port.h"

#include <memory>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include "jackdawweir/http/status.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

// A descriptor is needed for each caller's connection; the rest is for links and servers.
constexpr std::size_t maxCallerConnections = 2'500;

// The largest body that fits in one frame between nodes with its headers.
constexpr std::uint64_t maxForwardedBody = 15U << 20U;

std::optional<milliseconds> parseRemaining(const std::string *text)
{
    std::int64_t count = 0;
    if (text == nullptr || !absl::SimpleAtoi(*text, &count) || count < 0) {
        return std::nullopt;
    }
    return milliseconds(count);
}

http::response emptyResponse(unsigned status)
{
    return http::response{status, {}, "", false};
}

} // namespace

caller_port::caller_port(process &shared, node &own, forwarding::header_names names)
    : m_process(shared)
    , m_node(own)
    , m_names(std::move(names))
    , m_listener(shared.loop,
                 http::listener_settings{},
                 [this](const std::shared_ptr<http::exchange> &open) { take(open); })
{
}

core::status caller_port::start()
{
    http::listener_settings settings;
    settings.maxConnections = maxCallerConnections;
    m_listener.setLimits(settings);
    return m_listener.start(m_process.settings.node->callers);
}

void caller_port::take(const std::shared_ptr<http::exchange> &open)
{
    forwarding::caller_request request;
    request.message = open->received();
    const std::string *id = http::findHeader(request.message.headers, m_names.requestId);
    request.id = id == nullptr ? std::string() : *id;
    request.remaining = parseRemaining(http::findHeader(request.message.headers, m_names.deadline));
    http::removeConnectionHeaders(request.message.headers);
    // The node beside the server sets these anew.
    http::removeHeader(request.message.headers, m_names.deadline);
    http::removeHeader(request.message.headers, m_names.callerService);
    http::removeHeader(request.message.headers, m_names.expectedInstance);
    const auto number = std::make_shared<std::uint64_t>(0);
    open->onDisconnect([this, number] { m_node.cancel(*number); });
    *number
        = m_node.begin(std::move(request), [this, open](const forwarding::caller_answer &answer) {
              open->respond(responseTo(answer));
          });
    if (m_limitsRevision != m_node.revision()) {
        m_limitsRevision = m_node.revision();
        const policy::caller_limits &limits = m_node.limits();
        http::listener_settings settings;
        settings.maxHeaderBytes = limits.maxHeaderBytes;
        settings.maxBodyBytes = std::min(limits.maxBodyBytes, maxForwardedBody);
        settings.requestTimeout = limits.headerTimeout;
        settings.idleTimeout = limits.idleTimeout;
        settings.maxConnections = maxCallerConnections;
        m_listener.setLimits(settings);
    }
}

http::response caller_port::responseTo(const forwarding::caller_answer &answer) const
{
    switch (answer.outcome) {
    case forwarding::caller_outcome::Answered:
        return answer.response;
    case forwarding::caller_outcome::NoRoute:
        return emptyResponse(http::status::notFound);
    case forwarding::caller_outcome::Unknown:
        return emptyResponse(http::status::badGateway);
    case forwarding::caller_outcome::TimedOut:
        return emptyResponse(http::status::gatewayTimeout);
    case forwarding::caller_outcome::NotRun:
        break;
    }
    http::response refused = emptyResponse(http::status::unavailable);
    const double seconds = std::chrono::duration<double>(answer.retryAfter).count();
    refused.headers.push_back(http::header{"Retry-After", absl::StrFormat("%.3f", seconds)});
    return refused;
}

void caller_port::drain()
{
    m_listener.drain();
}

void caller_port::stop()
{
    m_listener.stop();
}

std::size_t caller_port::openRequests() const
{
    return m_listener.openRequests();
}

} // namespace jackdawweir::mesh
