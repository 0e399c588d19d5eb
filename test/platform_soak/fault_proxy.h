// A TCP proxy on loopback that delays, resets or blocks its connections, in both directions or for
// responses only.
//
//     fault_proxy proxy(address, target);
//     proxy.setFault(link_fault::Blocked);

#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "platform_soak/connection_set.h"

namespace jackdawweir::platform_soak {

enum class link_fault : std::uint8_t {
    None,
    Delayed,
    Reset,
    // Neither requests nor responses pass.
    Blocked,
    // Requests pass, responses do not.
    ResponsesBlocked,
};

class fault_proxy
{
public:
    fault_proxy(const boost::asio::ip::tcp::endpoint &address,
                const boost::asio::ip::tcp::endpoint &target)
        : m_target(target)
        , m_connections(address, [this](const auto &socket) { forwardConnection(socket); })
    {
    }

    ~fault_proxy()
    {
        m_isClosing = true;
    }

    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    void setFault(link_fault fault)
    {
        m_fault = fault;
        m_changedAt = std::chrono::steady_clock::now();
        if (fault == link_fault::Reset) {
            m_connections.shutDownAll();
        }
    }

    // Returns true where no fault has been active since `then`.
    bool isFaultFreeSince(std::chrono::steady_clock::time_point then) const
    {
        return m_fault == link_fault::None && m_changedAt.load() < then;
    }

private:
    using socket_type = boost::asio::ip::tcp::socket;

    void forwardConnection(const std::shared_ptr<socket_type> &caller)
    {
        boost::asio::io_context context;
        socket_type server(context);
        boost::system::error_code failure;
        server.connect(m_target, failure);
        if (failure) {
            return;
        }
        std::thread responses([&] { pump(server, *caller, true); });
        pump(*caller, server, false);
        responses.join();
    }

    void pump(socket_type &from, socket_type &to, bool isResponse)
    {
        std::array<char, 4096> buffer{};
        boost::system::error_code failure;
        while (!failure) {
            const std::size_t count = from.read_some(boost::asio::buffer(buffer), failure);
            if (failure || !waitWhileBlocked(isResponse)) {
                break;
            }
            boost::asio::write(to, boost::asio::buffer(buffer.data(), count), failure);
        }
        ::shutdown(from.native_handle(), SHUT_RDWR);
        ::shutdown(to.native_handle(), SHUT_RDWR);
    }

    // Waits while the current fault delays or blocks the data. Returns false where the connection
    // has to end.
    bool waitWhileBlocked(bool isResponse) const
    {
        constexpr std::chrono::milliseconds delay{40};
        constexpr std::chrono::milliseconds pollInterval{5};
        if (m_fault == link_fault::Delayed) {
            std::this_thread::sleep_for(delay);
        }
        while (!m_isClosing
               && (m_fault == link_fault::Blocked
                   || (isResponse && m_fault == link_fault::ResponsesBlocked))) {
            std::this_thread::sleep_for(pollInterval);
        }
        return !m_isClosing && m_fault != link_fault::Reset;
    }

    boost::asio::ip::tcp::endpoint m_target;
    std::atomic<link_fault> m_fault{link_fault::None};
    std::atomic<std::chrono::steady_clock::time_point> m_changedAt{
        std::chrono::steady_clock::time_point{}};
    std::atomic<bool> m_isClosing{false};
    connection_set m_connections;
};

} // namespace jackdawweir::platform_soak
