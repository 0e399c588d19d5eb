// A backend server that counts the runs of each request by the request's id, and sometimes fails.
// It starts several times, one instance after the other, at the same address.
//
//     recorded_runs runs;
//     backend_server stock(address, runs, 1);
//     stock.startInstance("i-stock-1");
//     stock.recordLeave(requestedAt, acknowledgedAt, link);
//     stock.stopInstance();

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

class backend_server
{
public:
    backend_server(const asio::ip::tcp::endpoint &address, recorded_runs &runs, unsigned seed)
        : m_runs(runs)
        , m_seed(seed)
        , m_connections(address, [this](const std::shared_ptr<asio::ip::tcp::socket> &socket) {
            serve(*socket);
        })
    {
    }

    void startInstance(const std::string &instance)
    {
        const std::lock_guard lock(m_mutex);
        m_instance = instance;
        m_leave.reset();
    }

    // Records that the server asked its node to send no new requests, and when the node
    // acknowledged this. Requests after the drain time are reported if `link` had no fault since
    // `requestedAt`.
    void recordLeave(soak_time requestedAt, soak_time acknowledgedAt, const fault_proxy &link)
    {
        const std::lock_guard lock(m_mutex);
        m_leave = acknowledged_leave{requestedAt, acknowledgedAt, &link};
    }

    void stopInstance()
    {
        const std::lock_guard lock(m_mutex);
        m_instance.clear();
        m_leave.reset();
    }

    // Returns the requests that arrived after the drain time of an acknowledged leave, one line
    // each.
    std::vector<std::string> lateRequests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_lateRequests;
    }

    // Returns when requests arrived that the server accepted.
    std::vector<soak_time> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

private:
    struct acknowledged_leave {
        soak_time requestedAt;
        soak_time acknowledgedAt;
        const fault_proxy *link = nullptr;
    };

    // Returns false where the request expects another instance.
    bool accept(const std::string &id, const std::string &instance)
    {
        // The drain time in the settings of the fleet.
        constexpr std::chrono::milliseconds drainTime{2'000};
        const std::lock_guard lock(m_mutex);
        if (instance != m_instance) {
            return false;
        }
        const soak_time now = std::chrono::steady_clock::now();
        m_arrivals.push_back(now);
        if (m_leave && now > m_leave->acknowledgedAt + drainTime
            && m_leave->link->isFaultFreeSince(m_leave->requestedAt)) {
            const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
                now - m_leave->acknowledgedAt);
            m_lateRequests.push_back("reached " + instance + " " + std::to_string(late.count())
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
            if (failure || !respond(socket, request, engine)) {
                return;
            }
        }
    }

    // Returns false where the connection ends.
    bool respond(asio::ip::tcp::socket &socket,
                 const http::request<http::string_body> &request,
                 std::mt19937 &engine)
    {
        constexpr unsigned requestsPerFailure = 60;
        constexpr unsigned requestsPerDisconnect = 150;
        const std::string id(request["X-Jackdawweir-Attempt-Id"]);
        http::response<http::string_body> outgoing;
        outgoing.set("X-Jackdawweir-Attempt-Id", id);
        const std::string instance(request["X-Jackdawweir-Expect-Instance"]);
        if (!accept(id, instance)) {
            outgoing.result(http::status::misdirected_request);
            outgoing.set("X-Jackdawweir-Not-Executed", "1");
        } else {
            m_runs.record(id);
            std::this_thread::sleep_for(std::chrono::milliseconds(1 + engine() % 30));
            if (engine() % requestsPerDisconnect == 0) {
                return false;
            }
            outgoing.set("X-Jackdawweir-Server-Seal", instance);
            outgoing.result(engine() % requestsPerFailure == 0 ? http::status::internal_server_error
                                                               : http::status::ok);
            outgoing.body() = id + " " + std::string(request.target());
        }
        outgoing.prepare_payload();
        boost::system::error_code failure;
        http::write(socket, outgoing, failure);
        return !failure;
    }

    mutable std::mutex m_mutex;
    std::string m_instance;
    std::optional<acknowledged_leave> m_leave;
    std::vector<std::string> m_lateRequests;
    std::vector<soak_time> m_arrivals;
    recorded_runs &m_runs;
    unsigned m_seed;
    std::atomic<unsigned> m_accepted{0};
    connection_set m_connections;
};

} // namespace jackdawweir::platform_soak
