// TCP links between the system's processes.
//
//     mesh_transport transport(executor, options, [](received_message message) { ... });
//     transport.start();
//     transport.send(peer, wire::channel::Membership, bytes);
//
// A message may be lost when a link breaks and is never repeated by the transport; the protocols
// above expect that. Messages over one link arrive in order.

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
#include "jackdawweir/core/names.h"
#include "jackdawweir/wire/frame.h"

namespace jackdawweir::transport {

struct received_message {
    // The mesh endpoint of the sender, which replies are sent to.
    core::endpoint from;
    wire::channel target = wire::channel::Control;
    std::string payload;
};

using message_handler = std::function<void(received_message)>;

// Called when a link to a peer has closed. Whatever was sent over it may or may not have arrived;
// where the link was never connected nothing of it arrived.
using link_lost_handler = std::function<void(const core::endpoint &peer, bool wasConnected)>;

// Bytes that one process sent and received over its links, frame headers included.
struct channel_bytes {
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> received{0};
};

constexpr std::size_t channelCount = static_cast<std::size_t>(wire::channel::Forwarding) + 1;

// Reads "IP:PORT". Errors: InvalidArgument.
core::result<boost::asio::ip::tcp::endpoint> parseEndpoint(const core::endpoint &text);

namespace internal {
class link;
} // namespace internal

// All member functions run on the thread of the io_context, and so does the handler.
class mesh_transport
{
public:
    mesh_transport(boost::asio::io_context &context,
                   core::endpoint own,
                   const core::clock &clock,
                   core::hybrid_clock &hybridClock,
                   message_handler handler);
    ~mesh_transport();
    mesh_transport(const mesh_transport &) = delete;
    mesh_transport &operator=(const mesh_transport &) = delete;

    // Listens on the own endpoint. Errors: Unavailable where the address is taken.
    core::status start();

    // Sends to a peer and connects first where there is no link. Returns false where the message
    // was dropped and will never arrive: the last connection attempt failed a moment ago, or the
    // queue to the peer is full.
    bool send(const core::endpoint &peer, wire::channel target, const std::string &payload);

    // Tells of every closed link from now on.
    void onLinkLost(link_lost_handler handler);

    // Closes the link to a peer that no longer answers, so that the next message opens a new one.
    void closeLink(const core::endpoint &peer);

    // Closes every link.
    void stop();

    const channel_bytes &bytes(wire::channel target) const;

private:
    friend class internal::link;

    void acceptNext();
    std::shared_ptr<internal::link> connect(const core::endpoint &peer);
    void linkClosed(const std::shared_ptr<internal::link> &closed);
    void linkNamed(const std::shared_ptr<internal::link> &named);
    void deliver(const core::endpoint &from, wire::frame received);

    boost::asio::io_context &m_context;
    core::endpoint m_own;
    const core::clock &m_clock;
    core::hybrid_clock &m_hybridClock;
    message_handler m_handler;
    link_lost_handler m_linkLost;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<core::endpoint, std::shared_ptr<internal::link>> m_links;
    std::map<core::endpoint, core::monotonic_time> m_failedAt;
    std::array<channel_bytes, channelCount> m_bytes;
    bool m_stopped = false;
};

} // namespace jackdawweir::transport
