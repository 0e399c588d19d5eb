// A backend server that records each run by the id of its request, and sometimes fails.
//
//     recorded_runs runs;
//     backend stock(address, "i-stock", runs, 1);

#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "platform_soak/connection_set.h"

namespace jackdawweir::platform_soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;

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
    backend(const asio::ip::tcp::endpoint &address,
            std::string instance,
            recorded_runs &runs,
            unsigned seed)
        : m_instance(std::move(instance))
        , m_runs(runs)
        , m_seed(seed)
        , m_connections(address, [this](const std::shared_ptr<asio::ip::tcp::socket> &socket) {
            serve(*socket);
        })
    {
    }

private:
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
        if (request["X-Jackdawweir-Expect-Instance"] != m_instance) {
            sent.result(http::status::misdirected_request);
            sent.set("X-Jackdawweir-Not-Executed", "1");
        } else {
            m_runs.record(id);
            std::this_thread::sleep_for(std::chrono::milliseconds(1 + engine() % 30));
            if (engine() % breaksEach == 0) {
                return false;
            }
            sent.set("X-Jackdawweir-Server-Seal", m_instance);
            sent.result(engine() % failsEach == 0 ? http::status::internal_server_error
                                                  : http::status::ok);
            sent.body() = id + " " + std::string(request.target());
        }
        sent.prepare_payload();
        boost::system::error_code failure;
        http::write(socket, sent, failure);
        return !failure;
    }

    std::string m_instance;
    recorded_runs &m_runs;
    unsigned m_seed;
    std::atomic<unsigned> m_accepted{0};
    connection_set m_connections;
};

} // namespace jackdawweir::platform_soak
