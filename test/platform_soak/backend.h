// A backend server that records each run by the id of its request, and sometimes fails. Its starts
// follow each other at one address.
//
//     recorded_runs runs;
//     backend stock(address, runs, 1);
//     stock.begin("i-stock-1");
//     stock.leave(asked, acknowledged, link);
//     stock.end();

#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "platform_soak/connection_set.h"
#include "platform_soak/fault_proxy.h"

namespace jackdawweir::platform_soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using soak_time = std::chrono::steady_clock::time_point;

// How often each request ran, by its id.
class recorded_runs
{
public:
    void record(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts[id];
    }

    std::map<std::string, int> counts() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counts;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_counts;
};

class backend
{
public:
    backend(const asio::ip::tcp::endpoint &address, recorded_runs &runs, unsigned seed)
        : m_runs(runs)
        , m_seed(seed)
        , m_connections(address, [this](const std::shared_ptr<asio::ip::tcp::socket> &socket) {
            serve(*socket);
        })
    {
    }

    void begin(const std::string &instance)
    {
        const std::lock_guard lock(m_mutex);
        m_instance = instance;
        m_left.reset();
    }

    // The node acknowledged between the two times that the server takes no new requests.
    void leave(soak_time asked, soak_time acknowledged, const fault_proxy &link)
    {
        const std::lock_guard lock(m_mutex);
        m_left = acknowledged_leave{asked, acknowledged, &link};
    }

    void end()
    {
        const std::lock_guard lock(m_mutex);
        m_instance.clear();
        m_left.reset();
    }

    // Requests that came after the drain time of a leave, one line each.
    std::vector<std::string> lateRequests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_late;
    }

private:
    struct acknowledged_leave {
        soak_time asked;
        soak_time acknowledged;
        const fault_proxy *link = nullptr;
    };

    // Returns false where another start is meant.
    bool accept(const std::string &id, const std::string &instance)
    {
        // The drain time in the settings of the fleet.
        constexpr std::chrono::milliseconds drainTime{2'000};
        const std::lock_guard lock(m_mutex);
        if (instance != m_instance) {
            return false;
        }
        const soak_time now = std::chrono::steady_clock::now();
        if (m_left && now > m_left->acknowledged + drainTime
            && m_left->link->isSoundSince(m_left->asked)) {
            const auto late
                = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_left->acknowledged);
            m_late.push_back("reached " + instance + " " + std::to_string(late.count())
                             + " ms after its leave was acknowledged: " + id);
        }
        return true;
    }

    void serve(asio::ip::tcp::socket &socket)
    {
        std::mt19937 engine(m_seed + ++m_accepted);
        boost::beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> request;
            boost::system::error_code failure;
            http::read(socket, buffer, request, failure);
            if (failure || !answer(socket, request, engine)) {
                return;
            }
        }
    }

    // Returns false where the connection ends.
    bool answer(asio::ip::tcp::socket &socket,
                const http::request<http::string_body> &request,
                std::mt19937 &engine)
    {
        constexpr unsigned failsEach = 60;
        constexpr unsigned breaksEach = 150;
        const std::string id(request["X-Jackdawweir-Attempt-Id"]);
        http::response<http::string_body> sent;
        sent.set("X-Jackdawweir-Attempt-Id", id);
        const std::string instance(request["X-Jackdawweir-Expect-Instance"]);
        if (!accept(id, instance)) {
            sent.result(http::status::misdirected_request);
            sent.set("X-Jackdawweir-Not-Executed", "1");
        } else {
            m_runs.record(id);
            std::this_thread::sleep_for(std::chrono::milliseconds(1 + engine() % 30));
            if (engine() % breaksEach == 0) {
                return false;
            }
            sent.set("X-Jackdawweir-Server-Seal", instance);
            sent.result(engine() % failsEach == 0 ? http::status::internal_server_error
                                                  : http::status::ok);
            sent.body() = id + " " + std::string(request.target());
        }
        sent.prepare_payload();
        boost::system::error_code failure;
        http::write(socket, sent, failure);
        return !failure;
    }

    mutable std::mutex m_mutex;
    std::string m_instance;
    std::optional<acknowledged_leave> m_left;
    std::vector<std::string> m_late;
    recorded_runs &m_runs;
    unsigned m_seed;
    std::atomic<unsigned> m_accepted{0};
    connection_set m_connections;
};

} // namespace jackdawweir::platform_soak
