// A TCP server on the loopback interface that answers each request with scripted bytes, for tests
// of malformed responses.
//
//     scripted_server server(
//         {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", after_reply::KeepOpen}});
//     client.send(upstream_request{.address = server.address(), ...});

#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "jackdawweir/core/names.h"

namespace jackdawweir::test {

enum class after_reply : std::uint8_t {
    KeepOpen,
    Close,
    Hold, // Keeps the connection open and sends nothing more until the client closes it.
    Reset, // Reads a part of a long body, and resets the connection.
    EndThenHold, // Ends its side of the connection, and holds the other.
    EndThenReset, // Ends its side of the connection, and resets it then.
};

struct scripted_reply {
    std::string bytes;
    after_reply then = after_reply::Close;
    // If not empty, sent repeatedly after `bytes` until the client closes the connection.
    std::string endless{};
    // The time between the head of the request and `bytes`.
    std::chrono::milliseconds delay{0};
};

// Request number N, counted over all connections, gets reply N; after the last reply is used, it is
// repeated. The body of a request is not read before the reply is sent, so only the last request of
// a connection may have one.
class scripted_server
{
public:
    explicit scripted_server(std::vector<scripted_reply> replies)
        : m_replies(std::move(replies))
        , m_acceptor(m_context,
                     boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_port(m_acceptor.local_endpoint().port())
        , m_thread([this] { serve(); })
    {
    }

    ~scripted_server()
    {
        m_stopping = true;
        // Unblocks the accept call in the server thread.
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket waker(context);
        boost::system::error_code ignored;
        waker.connect(
            boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), m_port),
            ignored);
        waker.close(ignored);
        m_thread.join();
        for (std::thread &each : m_connections) {
            each.join();
        }
    }

    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    core::endpoint address() const
    {
        return core::endpoint{"127.0.0.1:" + std::to_string(m_port)};
    }

    std::size_t requestsReceived() const
    {
        return m_requests;
    }

    // Returns the bytes of the latest request, up to the end of its headers.
    std::string lastRequest() const
    {
        const std::scoped_lock lock(m_lastRequestMutex);
        return m_lastRequest;
    }

    // Returns the number of connections that have carried a request.
    std::size_t connectionsUsed() const
    {
        return m_connectionsUsed;
    }

private:
    void serve()
    {
        while (!m_stopping) {
            boost::system::error_code failure;
            boost::asio::ip::tcp::socket socket = m_acceptor.accept(failure);
            if (!failure) {
                m_connections.emplace_back([this, held = std::move(socket)]() mutable {
                    bool open = true;
                    for (bool isFirst = true; open; isFirst = false) {
                        open = serveOne(held, isFirst);
                    }
                });
            }
        }
    }

    // Returns true if another request may follow on this connection.
    bool serveOne(boost::asio::ip::tcp::socket &socket, bool isFirst)
    {
        boost::asio::streambuf input;
        boost::system::error_code failure;
        boost::asio::read_until(socket, input, "\r\n\r\n", failure);
        if (failure) {
            return false;
        }
        {
            const std::scoped_lock lock(m_lastRequestMutex);
            m_lastRequest.assign(boost::asio::buffers_begin(input.data()),
                                 boost::asio::buffers_end(input.data()));
        }
        input.consume(input.size());
        m_connectionsUsed += isFirst ? 1 : 0;
        const std::size_t index = std::min(m_requests.fetch_add(1), m_replies.size() - 1);
        const scripted_reply &reply = m_replies[index];
        std::this_thread::sleep_for(reply.delay);
        boost::asio::write(socket, boost::asio::buffer(reply.bytes), failure);
        while (!reply.endless.empty() && !failure) {
            boost::asio::write(socket, boost::asio::buffer(reply.endless), failure);
        }
        endConnection(socket, reply.then);
        return reply.then == after_reply::KeepOpen;
    }

    // Reads less than 2 MB, while the client reads the reply and goes on with its request.
    static void readSlowly(boost::asio::ip::tcp::socket &socket)
    {
        constexpr int reads = 30;
        constexpr std::chrono::microseconds pause{100};
        std::array<char, 65536> bytes{};
        boost::system::error_code failure;
        socket.non_blocking(true, failure);
        for (int count = 0; count < reads; ++count) {
            socket.read_some(boost::asio::buffer(bytes), failure);
            std::this_thread::sleep_for(pause);
        }
    }

    // Does what makes the end of a connection differ from that of a socket that is destroyed.
    static void endConnection(boost::asio::ip::tcp::socket &socket, after_reply then)
    {
        boost::system::error_code failure;
        if (then == after_reply::EndThenHold || then == after_reply::EndThenReset) {
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, failure);
        }
        if (then == after_reply::Hold || then == after_reply::EndThenHold) {
            boost::asio::streambuf input;
            boost::asio::read_until(socket, input, "\r\n\r\n", failure);
        }
        if (then == after_reply::Reset) {
            readSlowly(socket);
        }
        if (then == after_reply::Reset || then == after_reply::EndThenReset) {
            // A socket that is closed with a linger time of zero resets its connection.
            socket.set_option(boost::asio::socket_base::linger(true, 0), failure);
            socket.close(failure);
        }
    }

    std::vector<scripted_reply> m_replies;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    mutable std::mutex m_lastRequestMutex;
    std::string m_lastRequest;
    std::atomic<std::size_t> m_requests{0};
    std::atomic<std::size_t> m_connectionsUsed{0};
    std::atomic<bool> m_stopping{false};
    // Used by the accepting thread, and by the destructor once that thread has ended.
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace jackdawweir::test
