// A TCP connection between two processes of the mesh.

#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "jackdawweir/core/memory_budget.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/transport/mesh_transport.h"
#include "jackdawweir/wire/frame.h"

namespace jackdawweir::transport::internal {

class link : public std::enable_shared_from_this<link>
{
public:
    // `peer` is empty for an accepted connection; the first frame received contains the peer's
    // endpoint.
    link(mesh_transport &owner, boost::asio::ip::tcp::socket socket, core::endpoint peer);

    // Connects, sends the own endpoint to the peer, and starts reading.
    void open(const boost::asio::ip::tcp::endpoint &remote);

    // Starts reading from an accepted connection.
    void startAccepted();

    // Queues a frame. Returns false when it was dropped because the link is closed or its queue is
    // full.
    bool enqueue(std::string header, std::string payload);

    // Closes the link and reports its end with the reason.
    void close(const std::string &reason);

    const core::endpoint &peer() const
    {
        return m_peer;
    }

    std::size_t queuedBytes() const
    {
        return m_outputBytes;
    }

private:
    struct queued_frame {
        std::string header;
        std::string payload;

        std::size_t size() const
        {
            return header.size() + payload.size();
        }
    };

    void configureSocket();
    void updateClaim();
    void readNext();
    void handleFrames();
    void handleFrame(wire::frame received);
    void writeNext();

    mesh_transport &m_owner;
    boost::asio::ip::tcp::socket m_socket;
    core::endpoint m_peer;
    boost::asio::steady_timer m_connectTimer;
    bool m_connected = false;
    bool m_accepted = false;
    core::monotonic_time m_receivedAt;
    bool m_closed = false;
    std::array<char, std::size_t{8} * 1024> m_input{};
    wire::frame_splitter m_splitter;
    std::deque<queued_frame> m_output;
    std::size_t m_outputBytes = 0;
    core::memory_claim m_claim;
};

} // namespace jackdawweir::transport::internal
