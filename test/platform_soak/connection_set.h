// Accepts connections, serves each on its own thread, and shuts all of them down when destroyed.
//
//     connection_set connections(address, [](const std::shared_ptr<socket> &open) { ... });

#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace jackdawweir::platform_soak {

class connection_set
{
public:
    using socket_pointer = std::shared_ptr<boost::asio::ip::tcp::socket>;
    using serve_function = std::function<void(const socket_pointer &)>;

    connection_set(const boost::asio::ip::tcp::endpoint &address, serve_function serve)
        : m_acceptor(m_context, address)
        , m_serve(std::move(serve))
        , m_accepting([this] { accept(); })
    {
    }

    ~connection_set()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isClosing = true;
        }
        // Unblocks the pending accept call.
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_accepting.join();
        shutDownAll();
        for (std::thread &each : m_threads) {
            each.join();
        }
    }

    connection_set(const connection_set &) = delete;
    connection_set &operator=(const connection_set &) = delete;

    // Shuts down the open connections; new ones are still accepted.
    void shutDownAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const socket_pointer &each : m_sockets) {
            ::shutdown(each->native_handle(), SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        while (true) {
            const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(m_context);
            boost::system::error_code failure;
            m_acceptor.accept(*socket, failure);
            const std::lock_guard lock(m_mutex);
            if (m_isClosing) {
                return;
            }
            if (failure) {
                continue;
            }
            m_sockets.push_back(socket);
            m_threads.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(const socket_pointer &socket)
    {
        m_serve(socket);
        // The descriptor stays valid for shutDownAll() until it is removed from the list.
        const std::lock_guard lock(m_mutex);
        std::erase(m_sockets, socket);
        boost::system::error_code ignored;
        socket->close(ignored);
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    serve_function m_serve;
    std::mutex m_mutex;
    bool m_isClosing = false;
    std::vector<socket_pointer> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_accepting;
};

} // namespace jackdawweir::platform_soak
