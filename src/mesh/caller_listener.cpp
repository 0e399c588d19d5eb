#include "jackdawweir/mesh/caller_listener.h"

#include <memory>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include "jackdawweir/http/status.h"
#include "jackdawweir/mesh/caller_credentials.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

// The largest body that fits, together with the headers, in one frame between nodes.
constexpr std::uint64_t maxForwardedBody = 15U << 20U;

std::optional<milliseconds> parseRemainingTime(const std::string *text)
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

caller_listener::caller_listener(process_context &context,
                                 node &localNode,
                                 forwarding::header_names names)
    : m_context(context)
    , m_node(localNode)
    , m_names(std::move(names))
    , m_listener(context.loop,
                 context.listenerSettings(context.settings.callerBounds.callerConnections),
                 [this](const std::shared_ptr<http::exchange> &call) { handleRequest(call); })
{
}

core::status caller_listener::start()
{
    applyLimits();
    // Not with the next request: a caller whose requests all exceed the old limits would be refused
    // for good.
    m_node.onViewChanged([this] { applyLimits(); });
    return m_listener.start(m_context.settings.node->callers);
}

void caller_listener::handleRequest(const std::shared_ptr<http::exchange> &call)
{
    forwarding::caller_request request;
    request.message = call->takeReceived();
    const std::string *id = http::findHeader(request.message.headers, m_names.requestId);
    request.id = id == nullptr ? std::string() : *id;
    request.remaining
        = parseRemainingTime(http::findHeader(request.message.headers, m_names.deadline));
    http::removeConnectionHeaders(request.message.headers);
    // The node on the backend server's host sets these headers itself.
    http::removeHeader(request.message.headers, m_names.deadline);
    http::removeHeader(request.message.headers, m_names.callerService);
    http::removeHeader(request.message.headers, m_names.expectedInstance);
    http::removeHeader(request.message.headers, m_names.workspace);
    caller_credentials credentials = takeCredentials(request.message.headers, m_names);
    request.apiKey = std::move(credentials.apiKey);
    request.credentials = std::move(credentials.headers);
    const auto requestNumber = std::make_shared<std::uint64_t>(0);
    call->onDisconnect([this, requestNumber] { m_node.cancelRequest(*requestNumber); });
    *requestNumber = m_node.beginRequest(std::move(request),
                                         [this, call](const forwarding::caller_answer &answer) {
                                             call->respond(toResponse(answer));
                                         });
}

void caller_listener::applyLimits()
{
    const policy::caller_limits &limits = m_node.limits();
    http::listener_settings settings
        = m_context.listenerSettings(m_context.settings.callerBounds.callerConnections);
    settings.maxHeaderBytes = limits.maxHeaderBytes;
    settings.maxBodyBytes = std::min(limits.maxBodyBytes, maxForwardedBody);
    settings.requestTimeout = limits.headerTimeout;
    settings.idleTimeout = limits.idleTimeout;
    m_listener.setLimits(settings);
}

http::response caller_listener::toResponse(const forwarding::caller_answer &answer) const
{
    switch (answer.outcome) {
    case forwarding::caller_outcome::Answered:
        return answer.response;
    case forwarding::caller_outcome::NoRoute:
        return emptyResponse(http::status::notFound);
    case forwarding::caller_outcome::Unauthorized:
        return emptyResponse(http::status::unauthorized);
    case forwarding::caller_outcome::Unknown:
        return emptyResponse(http::status::badGateway);
    case forwarding::caller_outcome::TimedOut:
        return emptyResponse(http::status::gatewayTimeout);
    case forwarding::caller_outcome::NotRun:
    case forwarding::caller_outcome::OverQuota:
        break;
    }
    const bool isOverQuota = answer.outcome == forwarding::caller_outcome::OverQuota;
    http::response refused
        = emptyResponse(isOverQuota ? http::status::tooManyRequests : http::status::unavailable);
    const double seconds = std::chrono::duration<double>(answer.retryAfter).count();
    refused.headers.push_back(http::header{"Retry-After", absl::StrFormat("%.3f", seconds)});
    return refused;
}

void caller_listener::drain()
{
    m_listener.drain();
}

void caller_listener::stop()
{
    m_listener.stop();
}

std::size_t caller_listener::openRequests() const
{
    return m_listener.openRequests();
}

} // namespace jackdawweir::mesh
