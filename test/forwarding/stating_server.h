// A backend server for tests with a manual clock. It runs on the event loop of the test, answers
// each request after a fixed run time with the headers that the test sets, and records when
// requests arrive.
//
//     stating_server server(context, clock);
//     server.stated = "Jackdawweir-Server-Limit: 5\r\n";
//     server.answerDue();

#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"

namespace jackdawweir::forwarding {

class stating_server
{
public:
    stating_server(boost::asio::io_context &context, const core::clock &clock)
        : m_clock(clock)
        , m_acceptor(context,
                     boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    core::endpoint address() const
    {
        return core::endpoint{"127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())};
    }

    // Answers the requests that have run for long enough.
    void answerDue()
    {
        while (!m_running.empty() && m_running.front().endsAt <= m_clock.monotonicNow()) {
            const running_request ended = m_running.front();
            m_running.pop_front();
            const std::string answer
                = "HTTP/1.1 200 OK\r\n" + ended.identity + stated + "Content-Length: 2\r\n\r\nok";
            boost::system::error_code ignored;
            boost::asio::write(ended.link->socket, boost::asio::buffer(answer), ignored);
            read(ended.link);
        }
    }

    std::size_t running() const
    {
        return m_running.size();
    }

    // Forgets the requests that run, after their callers have disconnected.
    void dropRunning()
    {
        m_running.clear();
    }

    // Returns the greatest number of requests that arrived in any span of the length, of those that
    // lie within [from, to).
    std::size_t mostArrivals(std::chrono::milliseconds length,
                             core::monotonic_time from,
                             core::monotonic_time to) const
    {
        std::size_t most = 0;
        const auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
        const auto last = std::lower_bound(arrivals.begin(), arrivals.end(), to);
        for (auto each = first; each != last; ++each) {
            const auto end = std::lower_bound(each, last, *each + length);
            most = std::max(most, static_cast<std::size_t>(end - each));
        }
        return most;
    }

    // Header lines that each response carries.
    std::string stated;
    std::chrono::milliseconds runTime{20};
    std::vector<core::monotonic_time> arrivals;

private:
    struct server_link {
        explicit server_link(boost::asio::ip::tcp::socket opened)
            : socket(std::move(opened))
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::streambuf input;
    };

    struct running_request {
        std::shared_ptr<server_link> link;
        // The header line that identifies the request.
        std::string identity;
        core::monotonic_time endsAt;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code &failure, boost::asio::ip::tcp::socket opened) {
                if (!failure) {
                    read(std::make_shared<server_link>(std::move(opened)));
                    accept();
                }
            });
    }

    void read(const std::shared_ptr<server_link> &link)
    {
        boost::asio::async_read_until(
            link->socket,
            link->input,
            "\r\n\r\n",
            [this, link](const boost::system::error_code &failure, std::size_t size) {
                if (failure) {
                    return;
                }
                const std::string head(boost::asio::buffers_begin(link->input.data()),
                                       boost::asio::buffers_begin(link->input.data())
                                           + static_cast<std::ptrdiff_t>(size));
                link->input.consume(size);
                const core::monotonic_time now = m_clock.monotonicNow();
                arrivals.push_back(now);
                m_running.push_back(running_request{link, identityLine(head), now + runTime});
            });
    }

    static std::string identityLine(const std::string &head)
    {
        const std::size_t begin = head.find("Jackdawweir-Request-Id: ");
        return begin == std::string::npos
            ? ""
            : head.substr(begin, head.find("\r\n", begin) + 2 - begin);
    }

    const core::clock &m_clock;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<running_request> m_running;
};

} // namespace jackdawweir::forwarding
