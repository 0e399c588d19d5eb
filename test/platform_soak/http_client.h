// Sends requests over one connection, with a time limit for each, and connects again after a
// connection has ended. The blocking reads of mesh_fleet wait for a paused process without limit.
//
//     http_client client({address, port}, std::chrono::seconds(1));
//     const std::optional<http_client::response_type> received = client.send(request);

#pragma once

#include <chrono>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace jackdawweir::platform_soak {

class http_client
{
public:
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;
    using response_type = boost::beast::http::response<boost::beast::http::string_body>;

    http_client(boost::asio::ip::tcp::endpoint address, std::chrono::milliseconds limit)
        : m_address(std::move(address))
        , m_limit(limit)
    {
    }

    // Returns none where there is no complete response within the limit.
    std::optional<response_type> send(const request_type &request)
    {
        if (m_stream == nullptr && !connect()) {
            return std::nullopt;
        }
        response_type received;
        m_stream->expires_after(m_limit);
        const bool isComplete
            = run([&](auto handler) {
                  boost::beast::http::async_write(*m_stream, request, handler);
              })
            && run([&](auto handler) {
                   boost::beast::http::async_read(*m_stream, m_buffer, received, handler);
               });
        if (!isComplete || !received.keep_alive() || !request.keep_alive()) {
            close();
        }
        return isComplete ? std::optional(std::move(received)) : std::nullopt;
    }

    void close()
    {
        m_stream.reset();
        m_buffer.clear();
    }

private:
    bool connect()
    {
        m_stream = std::make_unique<boost::beast::tcp_stream>(m_context);
        m_stream->expires_after(m_limit);
        const bool isOpen = run([&](auto handler) {
            m_stream->async_connect(
                m_address, [handler](boost::system::error_code failure) { handler(failure, 0); });
        });
        if (!isOpen) {
            close();
        }
        return isOpen;
    }

    // Runs one asynchronous operation to its end. Returns true where it succeeded.
    template<typename Operation>
    bool run(Operation operation)
    {
        boost::system::error_code result = boost::asio::error::operation_aborted;
        operation([&result](boost::system::error_code failure, std::size_t /*count*/) {
            result = failure;
        });
        m_context.restart();
        m_context.run();
        return !result;
    }

    boost::asio::ip::tcp::endpoint m_address;
    std::chrono::milliseconds m_limit;
    boost::asio::io_context m_context;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace jackdawweir::platform_soak
