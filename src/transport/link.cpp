#include "transport/link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace jackdawweir::transport::internal {

namespace {

using boost::asio::ip::tcp;

// A link is closed when sent data stays unacknowledged for this time, so that a network partition
// without a connection reset is detected and the next message opens a new connection.
constexpr std::chrono::milliseconds unacknowledgedTimeout{2000};

// A connection attempt that takes longer is aborted. The operating system retransmits a lost SYN
// packet only after one second, so a new attempt reaches a host that has just started sooner.
constexpr std::chrono::milliseconds connectTimeout{300};

// The limit of queued bytes for each link. A peer that exceeds it reads too slowly, and further
// frames are dropped.
constexpr std::size_t maxQueuedBytes = std::size_t{2} * wire::maxPayloadBytes;

} // namespace

link::link(mesh_transport &owner, tcp::socket socket, core::endpoint peer)
    : m_owner(owner)
    , m_socket(std::move(socket))
    , m_peer(std::move(peer))
    , m_connectTimer(m_socket.get_executor())
    , m_receivedAt(owner.m_clock.monotonicNow())
    , m_claim(owner.m_budget, core::memory_use::LinkFrame)
{
}

void link::open(const tcp::endpoint &remote)
{
    boost::system::error_code ignored;
    m_socket.open(remote.protocol(), ignored);
    configureSocket();
    const std::string &ownEndpoint = m_owner.m_ownEndpoint.value;
    m_output.push_front(
        queued_frame{wire::encodeFrameHeader(wire::channel::Control,
                                             m_owner.m_hybridClock.next(m_owner.m_clock.wallNow()),
                                             ownEndpoint.size()),
                     ownEndpoint});
    m_connectTimer.expires_after(connectTimeout);
    m_connectTimer.async_wait(
        [self = shared_from_this()](const boost::system::error_code &failure) {
            if (!failure && !self->m_connected) {
                self->close("connect-timeout");
            }
        });
    m_socket.async_connect(remote,
                           [self = shared_from_this()](const boost::system::error_code &failure) {
                               if (failure) {
                                   self->close(failure.message());
                                   return;
                               }
                               self->m_connected = true;
                               self->m_connectTimer.cancel();
                               self->writeNext();
                               self->readNext();
                           });
}

void link::startAccepted()
{
    m_connected = true;
    m_accepted = true;
    configureSocket();
    readNext();
}

void link::configureSocket()
{
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    const auto milliseconds = static_cast<unsigned>(unacknowledgedTimeout.count());
    setsockopt(m_socket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &milliseconds,
               sizeof milliseconds);
}

bool link::enqueue(std::string header, std::string payload)
{
    queued_frame queued{std::move(header), std::move(payload)};
    if (m_closed || m_outputBytes + queued.size() > maxQueuedBytes) {
        return false;
    }
    m_outputBytes += queued.size();
    m_output.push_back(std::move(queued));
    updateClaim();
    if (m_connected && m_output.size() == 1) {
        writeNext();
    }
    return true;
}

void link::updateClaim()
{
    m_claim.resize(m_closed ? 0 : m_outputBytes + m_splitter.bufferedBytes());
}

void link::close(const std::string &reason)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    updateClaim();
    m_connectTimer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    const core::monotonic_time now = m_owner.m_clock.monotonicNow();
    m_owner.linkClosed(
        shared_from_this(),
        lost_link{m_peer,
                  m_connected,
                  m_accepted,
                  std::chrono::duration_cast<std::chrono::milliseconds>(now - m_receivedAt),
                  m_outputBytes,
                  reason});
}

void link::readNext()
{
    m_socket.async_read_some(
        boost::asio::buffer(m_input),
        [self = shared_from_this()](const boost::system::error_code &failure, std::size_t size) {
            if (failure || self->m_closed) {
                self->close(failure.message());
                return;
            }
            self->m_receivedAt = self->m_owner.m_clock.monotonicNow();
            self->m_splitter.append({self->m_input.data(), size});
            self->handleFrames();
            self->updateClaim();
            if (!self->m_closed) {
                self->readNext();
            }
        });
}

void link::handleFrames()
{
    while (std::optional<wire::frame> received = m_splitter.next()) {
        handleFrame(std::move(*received));
    }
    if (m_splitter.hasProtocolError()) {
        close("protocol error");
    }
}

void link::handleFrame(wire::frame received)
{
    if (m_peer.empty()) {
        m_peer.value = received.payload;
        m_owner.linkIdentified(shared_from_this());
        return;
    }
    m_owner.deliver(m_peer, std::move(received));
}

void link::writeNext()
{
    if (m_output.empty() || m_closed) {
        return;
    }
    const queued_frame &first = m_output.front();
    boost::asio::async_write(
        m_socket,
        std::array{boost::asio::buffer(first.header), boost::asio::buffer(first.payload)},
        [self = shared_from_this()](const boost::system::error_code &failure, std::size_t size) {
            if (failure || self->m_closed) {
                self->close(failure.message());
                return;
            }
            self->m_outputBytes -= std::min(size, self->m_outputBytes);
            self->m_output.pop_front();
            self->updateClaim();
            self->writeNext();
        });
}

} // namespace jackdawweir::transport::internal
