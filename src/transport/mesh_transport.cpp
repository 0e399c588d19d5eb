#include "jackdawweir/transport/mesh_transport.h"

#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/ip/address.hpp>

#include "transport/link.h"

namespace jackdawweir::transport {

namespace {

using boost::asio::ip::tcp;

// After a failed connection attempt, messages to the peer are dropped for this time, so that not
// every heartbeat to an unreachable host causes a connection attempt.
constexpr std::chrono::milliseconds reconnectDelay{100};

// A link with this many queued bytes is congested: a link of a few Mbit/s needs a quarter of a
// second for them.
constexpr std::size_t congestedBytes = std::size_t{64} << 10U;

// Frames up to this size are queued also when the memory for frames is used up, so that large ones
// do not delay the agreement and the reports of hosts.
constexpr std::size_t alwaysQueuedBytes = std::size_t{64} << 10U;

core::error endpointError(const core::endpoint &text)
{
    return core::error{
        core::error_code::InvalidArgument, "parse-endpoint", text.value, "expected IP:PORT"};
}

} // namespace

core::result<tcp::endpoint> parseEndpoint(const core::endpoint &text)
{
    const std::size_t colon = text.value.rfind(':');
    if (colon == std::string::npos) {
        return endpointError(text);
    }
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(text.value.substr(0, colon), failure);
    std::uint32_t port = 0;
    const bool portRead = absl::SimpleAtoi(text.value.substr(colon + 1), &port);
    if (failure || !portRead || port == 0 || port > UINT16_MAX) {
        return endpointError(text);
    }
    return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

mesh_transport::mesh_transport(boost::asio::io_context &context,
                               core::endpoint ownEndpoint,
                               const core::clock &clock,
                               core::hybrid_clock &hybridClock,
                               message_handler handler)
    : m_context(context)
    , m_ownEndpoint(std::move(ownEndpoint))
    , m_clock(clock)
    , m_hybridClock(hybridClock)
    , m_handler(std::move(handler))
    , m_acceptor(context)
{
}

mesh_transport::~mesh_transport() = default;

core::status mesh_transport::start()
{
    return startAt(m_ownEndpoint);
}

core::status mesh_transport::startAt(const core::endpoint &listenAddress)
{
    const core::result<tcp::endpoint> address = parseEndpoint(listenAddress);
    if (const core::error *failure = core::errorIn(address)) {
        return *failure;
    }
    boost::system::error_code failure;
    m_acceptor.open(core::valueIn(address).protocol(), failure);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    m_acceptor.bind(core::valueIn(address), failure);
    if (!failure) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return core::error{
            core::error_code::Unavailable, "listen", listenAddress.value, failure.message()};
    }
    acceptNext();
    return core::okStatus();
}

void mesh_transport::acceptNext()
{
    m_acceptor.async_accept([this](const boost::system::error_code &failure, tcp::socket socket) {
        if (m_stopped) {
            return;
        }
        if (!failure) {
            std::make_shared<internal::link>(*this, std::move(socket), core::endpoint{})
                ->startAccepted();
        }
        acceptNext();
    });
}

bool mesh_transport::send(const core::endpoint &peer, wire::channel target, std::string payload)
{
    if (m_stopped || !hasMemoryFor(payload.size())) {
        return false;
    }
    auto found = m_links.find(peer);
    const std::shared_ptr<internal::link> open
        = found != m_links.end() ? found->second : connect(peer);
    if (open == nullptr) {
        return false;
    }
    const core::hybrid_time sentAt = m_hybridClock.next(m_clock.wallNow());
    std::string header = wire::encodeFrameHeader(target, sentAt, payload.size());
    m_bytes[static_cast<std::size_t>(target)].sent += header.size() + payload.size();
    return open->enqueue(std::move(header), std::move(payload));
}

bool mesh_transport::hasMemoryFor(std::size_t payloadBytes) const
{
    return m_budget == nullptr || payloadBytes <= alwaysQueuedBytes
        || m_budget->permits(core::memory_use::LinkFrame, payloadBytes);
}

void mesh_transport::setBudget(std::shared_ptr<core::memory_budget> budget)
{
    m_budget = std::move(budget);
}

bool mesh_transport::isCongested(const core::endpoint &peer) const
{
    const auto found = m_links.find(peer);
    return found != m_links.end() && found->second->queuedBytes() > congestedBytes;
}

void mesh_transport::onLinkLost(link_lost_handler handler)
{
    m_linkLost = std::move(handler);
}

void mesh_transport::closeLink(const core::endpoint &peer)
{
    const auto found = m_links.find(peer);
    if (found != m_links.end()) {
        const std::shared_ptr<internal::link> closed = found->second;
        closed->close("closed by this process");
    }
}

std::shared_ptr<internal::link> mesh_transport::connect(const core::endpoint &peer)
{
    const auto failed = m_failedAt.find(peer);
    if (failed != m_failedAt.end()) {
        if (m_clock.monotonicNow() < failed->second + reconnectDelay) {
            return nullptr;
        }
        m_failedAt.erase(failed);
    }
    const core::result<tcp::endpoint> address = parseEndpoint(peer);
    if (core::errorIn(address) != nullptr) {
        return nullptr;
    }
    auto opened = std::make_shared<internal::link>(*this, tcp::socket(m_context), peer);
    m_links[peer] = opened;
    opened->open(core::valueIn(address));
    return opened;
}

void mesh_transport::linkIdentified(const std::shared_ptr<internal::link> &identified)
{
    const std::weak_ptr<internal::link> earlier
        = std::exchange(m_acceptedLinks[identified->peer()], identified);
    if (const std::shared_ptr<internal::link> replaced = earlier.lock()) {
        replaced->close("the peer has opened another link");
        // The peer may have heard nothing over the own link either.
        closeLink(identified->peer());
    }
    // Replies are sent over an accepted link too. When both sides connected at the same time, each
    // keeps sending over the link that it opened, so that messages on each link stay in order.
    m_links.emplace(identified->peer(), identified);
    m_failedAt.erase(identified->peer());
}

void mesh_transport::linkClosed(const std::shared_ptr<internal::link> &closed,
                                const lost_link &lost)
{
    const auto found = m_links.find(lost.peer);
    if (found != m_links.end() && found->second == closed) {
        m_links.erase(found);
    }
    const auto accepted = m_acceptedLinks.find(lost.peer);
    if (accepted != m_acceptedLinks.end() && accepted->second.lock() == closed) {
        m_acceptedLinks.erase(accepted);
    }
    if (!lost.wasConnected) {
        m_failedAt[lost.peer] = m_clock.monotonicNow();
    }
    if (m_linkLost && !m_stopped && !lost.peer.empty()) {
        m_linkLost(lost);
    }
}

void mesh_transport::deliver(const core::endpoint &from, wire::frame received)
{
    m_hybridClock.receive(received.sentAt, m_clock.wallNow());
    const std::size_t frameBytes = wire::frameHeaderBytes + received.payload.size();
    m_bytes[static_cast<std::size_t>(received.target)].received += frameBytes;
    m_handler(received_message{from, received.target, std::move(received.payload)});
}

void mesh_transport::stop()
{
    m_stopped = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const auto links = std::exchange(m_links, {});
    for (const auto &[peer, open] : links) {
        open->close("stopped");
    }
}

const channel_bytes &mesh_transport::bytes(wire::channel target) const
{
    return m_bytes[static_cast<std::size_t>(target)];
}

} // namespace jackdawweir::transport
