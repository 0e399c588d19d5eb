// Many callers at one address, each of which sends the same bytes over a connection of its own,
// reads nothing, and stays connected.
//
//     crowd callers("127.2.1.1", 17504, 48, {"POST / HTTP/1.1\r\n...\r\n\r\n", piece, 24});
//     waitUntil(timeout, [&] { return callers.hasSent(); });

#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace jackdawweir::caller_crowd_test {

// What each caller sends: the opening, and then the piece several times.
struct caller_script {
    std::string opening;
    std::string piece;
    std::size_t pieces = 0;
};

class crowd
{
public:
    crowd(const std::string &ip, std::uint16_t port, std::size_t connections, caller_script script)
        : m_server(boost::asio::ip::make_address(ip), port)
        , m_script(std::move(script))
        , m_sending(connections)
    {
        for (std::size_t index = 0; index < connections; ++index) {
            m_callers.push_back(std::make_unique<caller>(m_context));
            connect(*m_callers.back());
        }
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~crowd()
    {
        m_context.stop();
        m_thread.join();
    }

    crowd(const crowd &) = delete;
    crowd &operator=(const crowd &) = delete;

    // Returns true once every caller has sent everything or was disconnected.
    bool hasSent() const
    {
        return m_sending == 0;
    }

private:
    struct caller {
        explicit caller(boost::asio::io_context &context)
            : socket(context)
        {
        }

        boost::asio::ip::tcp::socket socket;
        std::size_t piecesLeft = 0;
    };

    void connect(caller &each)
    {
        // With a small window, a response that is not read stays with its sender.
        constexpr int windowBytes = 4096;
        boost::system::error_code ignored;
        each.socket.open(m_server.protocol(), ignored);
        each.socket.set_option(boost::asio::socket_base::receive_buffer_size(windowBytes), ignored);
        each.piecesLeft = m_script.pieces;
        each.socket.async_connect(m_server,
                                  [this, &each](const boost::system::error_code &failure) {
                                      if (failure) {
                                          --m_sending;
                                          return;
                                      }
                                      send(each, m_script.opening);
                                  });
    }

    void send(caller &each, const std::string &bytes)
    {
        boost::asio::async_write(
            each.socket,
            boost::asio::buffer(bytes),
            [this, &each](const boost::system::error_code &failure, std::size_t) {
                if (failure || each.piecesLeft == 0) {
                    --m_sending;
                    return;
                }
                --each.piecesLeft;
                send(each, m_script.piece);
            });
    }

    boost::asio::ip::tcp::endpoint m_server;
    caller_script m_script;
    boost::asio::io_context m_context;
    std::vector<std::unique_ptr<caller>> m_callers;
    std::atomic<std::size_t> m_sending;
    std::thread m_thread;
};

} // namespace jackdawweir::caller_crowd_test
