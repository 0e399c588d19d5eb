// Sends messages between processes of the mesh over TCP links.
//
//     mesh_transport transport(context, ownEndpoint, clock, hybridClock, handler);
//     transport.start();
//     transport.send(peer, wire::channel::Membership, bytes);
//
// A message may be lost when a link breaks. The transport never resends it; the protocols that use
// the transport must handle the loss. Messages over one link arrive in order. A peer opens a link
// only when it holds none, so a newer link of a peer shows that it has given up the one before,
// which is then closed here too.

#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/hybrid_time.h"
#include "jackdawweir/core/memory_budget.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/wire/frame.h"

namespace jackdawweir::transport {

struct received_message {
    // The mesh endpoint of the sender, to which replies are sent.
    core::endpoint from;
    wire::channel target = wire::channel::Control;
    std::string payload;
};

using message_handler = std::function<void(received_message)>;

// A link that has closed. Messages sent over it may or may not have arrived; when the link was
// never connected, none of them arrived.
struct lost_link {
    core::endpoint peer;
    bool wasConnected = false;
    // True if the peer opened the link, false if this process did.
    bool wasAccepted = false;
    // The time since the last bytes arrived over the link, or since it was opened.
    std::chrono::milliseconds silentFor{0};
    std::size_t queuedBytes = 0;
    std::string reason;
};

using link_lost_handler = std::function<void(const lost_link &)>;

// The number of bytes of one channel that this process sent and received, including frame headers.
struct channel_bytes {
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
};

constexpr std::size_t channelCount = static_cast<std::size_t>(wire::channel::Forwarding) + 1;

// Parses "IP:PORT". Errors: InvalidArgument.
core::result<boost::asio::ip::tcp::endpoint> parseEndpoint(const core::endpoint &text);

namespace internal {
class link;
} // namespace internal

// All member functions must be called on the thread of the io_context, which also calls the
// handlers.
class mesh_transport
{
public:
    mesh_transport(boost::asio::io_context &context,
                   core::endpoint ownEndpoint,
                   const core::clock &clock,
                   core::hybrid_clock &hybridClock,
                   message_handler handler);
    ~mesh_transport();
    mesh_transport(const mesh_transport &) = delete;
    mesh_transport &operator=(const mesh_transport &) = delete;

    // Listens on the own endpoint. Errors: InvalidArgument when it is malformed; Unavailable when
    // the address is in use.
    core::status start();

    // Listens on another address than the own endpoint, which peers reach through a proxy or an
    // address translation. Errors: as for start().
    core::status startAt(const core::endpoint &listenAddress);

    // Sends to a peer, and connects to it first when there is no link. Returns false when the
    // message was dropped and will never arrive: the last connection attempt failed within the
    // reconnect delay, the queue to the peer is full, there is no memory for it, its endpoint is
    // malformed, or the transport is stopped.
    bool send(const core::endpoint &peer, wire::channel target, std::string payload);

    // Limits the memory of the frames on all links. Called before the start; without a budget only
    // each link is limited.
    void setBudget(std::shared_ptr<core::memory_budget> budget);

    // Returns true if many bytes wait for the link to the peer, which then reads too slowly. State
    // that is sent again later should not be added to them.
    bool isCongested(const core::endpoint &peer) const;

    // Sets the handler that is called for each link that closes after this call.
    void onLinkLost(link_lost_handler handler);

    // Closes the link to a peer that no longer responds, so that the next message opens a new link.
    void closeLink(const core::endpoint &peer);

    // Closes every link.
    void stop();

    const channel_bytes &bytes(wire::channel target) const;

private:
    friend class internal::link;

    void acceptNext();
    bool hasMemoryFor(std::size_t payloadBytes) const;
    std::shared_ptr<internal::link> connect(const core::endpoint &peer);
    void linkClosed(const std::shared_ptr<internal::link> &closed, const lost_link &lost);
    void linkIdentified(const std::shared_ptr<internal::link> &identified);
    void deliver(const core::endpoint &from, wire::frame received);

    boost::asio::io_context &m_context;
    core::endpoint m_ownEndpoint;
    const core::clock &m_clock;
    core::hybrid_clock &m_hybridClock;
    message_handler m_handler;
    link_lost_handler m_linkLost;
    boost::asio::ip::tcp::acceptor m_acceptor;
    // The links that messages are sent over.
    std::map<core::endpoint, std::shared_ptr<internal::link>> m_links;
    // The newest link that each peer has opened.
    std::map<core::endpoint, std::weak_ptr<internal::link>> m_acceptedLinks;
    std::map<core::endpoint, core::monotonic_time> m_failedAt;
    std::array<channel_bytes, channelCount> m_bytes;
    std::shared_ptr<core::memory_budget> m_budget;
    bool m_stopped = false;
};

} // namespace jackdawweir::transport
