// Listens on the address of a killed backend server and counts the connections that nodes open to
// it.
//
//     connection_counter attempts("127.51.62.2:9001");
//     attempts.acceptWaiting();
//     CPPUNIT_ASSERT(attempts.count() == 0 || attempts.lastAt() < end);

#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "jackdawweir/core/error.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::process_test {

class connection_counter
{
public:
    explicit connection_counter(const std::string &address)
        : m_acceptor(m_context,
                     core::valueIn(transport::parseEndpoint(core::endpoint{address})),
                     true)
    {
        m_acceptor.non_blocking(true);
    }

    // Accepts the pending connections and closes them without a response.
    void acceptWaiting()
    {
        for (;;) {
            boost::system::error_code failure;
            boost::asio::ip::tcp::socket accepted(m_context);
            m_acceptor.accept(accepted, failure);
            if (failure) {
                return;
            }
            ++m_count;
            m_lastAt = std::chrono::steady_clock::now();
        }
    }

    std::size_t count() const
    {
        return m_count;
    }

    std::chrono::steady_clock::time_point lastAt() const
    {
        return m_lastAt;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_count = 0;
    std::chrono::steady_clock::time_point m_lastAt;
};

} // namespace jackdawweir::process_test
