// Tests with real processes which answers the callers of a node get while it shuts down.

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

// What a caller saw, and when, counted from the stop signal.
struct caller_outcome {
    call_response response;
    milliseconds begunAt{0};
    milliseconds endedAt{0};
};

// The number of requests that a server of the fleet runs at the same time.
constexpr int slots = 4;

// The routes' timeout ends after the shutdown timeout of 6 s.
constexpr const char *routeTimeout = "9";

} // namespace

class shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_test);
    CPPUNIT_TEST(answersWaitingRequestsBeforeItEnds);
    CPPUNIT_TEST(refusesRequestsThatArriveLate);
    CPPUNIT_TEST(refusesARequestWhoseBodyEndsLate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that wait for a server and are cut off without an answer when the
    // process ends.
    void answersWaitingRequestsBeforeItEnds()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{"", after_reply::Hold}});
        mesh_fleet fleet(61);
        serveSlowly(fleet, desk, stock);
        const steady_clock::time_point stopped = stop(fleet);
        std::vector<std::future<caller_outcome>> running;
        running.reserve(slots);
        for (int index = 0; index < slots; ++index) {
            running.push_back(call(fleet, "GET", "/stock/1", stopped));
        }
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return stock.requestsReceived() == slots; }));
        std::vector<std::future<caller_outcome>> waiting;
        for (const char *method : {"POST", "POST", "GET"}) {
            const std::string target = std::string(method) == "POST" ? "/order/1" : "/stock/1";
            waiting.push_back(call(fleet, method, target, stopped));
        }
        for (std::future<caller_outcome> &each : waiting) {
            CPPUNIT_ASSERT_EQUAL(503, each.get().response.status);
        }
        for (std::future<caller_outcome> &each : running) {
            CPPUNIT_ASSERT(each.get().endedAt >= seconds(5));
        }
        CPPUNIT_ASSERT(fleet.processAt(fleet.nodeIp(1)).waitForExit(seconds(2)).has_value());
        CPPUNIT_ASSERT(steady_clock::now() < stopped + seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{slots}, stock.requestsReceived());
    }

    // Guards against requests that are passed on late in the shutdown and cut off at its end.
    void refusesRequestsThatArriveLate()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{"", after_reply::Hold}});
        mesh_fleet fleet(62);
        serveSlowly(fleet, desk, stock);
        const steady_clock::time_point stopped = stop(fleet);
        std::vector<std::future<caller_outcome>> early;
        early.push_back(call(fleet, "GET", "/stock/1", stopped));
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return stock.requestsReceived() == 1; }));
        for (const int begin : {3'000, 3'800, 4'600, 5'100}) {
            std::this_thread::sleep_until(stopped + milliseconds(begin));
            for (const char *target : {"/stock/1", "/order/1"}) {
                const caller_outcome seen
                    = call(fleet, target[1] == 's' ? "GET" : "POST", target, stopped).get();
                CPPUNIT_ASSERT_EQUAL(503, seen.response.status);
                CPPUNIT_ASSERT(seen.endedAt - seen.begunAt < milliseconds(500));
            }
        }
        CPPUNIT_ASSERT(early.front().get().endedAt >= seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stock.requestsReceived());
    }

    // Guards against a request whose head was read in time and that is passed on late.
    void refusesARequestWhoseBodyEndsLate()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{"", after_reply::Hold}});
        mesh_fleet fleet(63);
        serveSlowly(fleet, desk, stock);
        const steady_clock::time_point stopped = stop(fleet);
        auto early = call(fleet, "GET", "/stock/1", stopped);
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return stock.requestsReceived() == 1; }));
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket caller(context);
        caller.connect({boost::asio::ip::make_address(fleet.nodeIp(1)), 17504});
        boost::asio::write(caller,
                           boost::asio::buffer(std::string(
                               "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                               "X-Jackdawweir-Attempt-Id: 77\r\nContent-Length: 4\r\n\r\nab")));
        std::this_thread::sleep_until(stopped + milliseconds(3'500));
        boost::asio::write(caller, boost::asio::buffer(std::string("cd")));
        std::string received;
        boost::system::error_code ended;
        boost::asio::read(caller, boost::asio::dynamic_buffer(received), ended);
        CPPUNIT_ASSERT(ended == boost::asio::error::eof);
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(received.find("Retry-After: ") != std::string::npos);
        CPPUNIT_ASSERT(steady_clock::now() < stopped + seconds(5));
        CPPUNIT_ASSERT(early.get().endedAt >= seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stock.requestsReceived());
    }

private:
    // Starts a mesh whose servers answer no request, and whose routes allow for waiting.
    static void
    serveSlowly(mesh_fleet &fleet, const scripted_server &desk, const scripted_server &stock)
    {
        serve(fleet, desk, stock);
        const std::string changed = configuration(4, "stock", routeTimeout, "8");
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            return fleet
                       .callSource(1,
                                   "POST",
                                   "/Config.Replace",
                                   changed,
                                   "X-Jackdawweir-Base-Version: r3\r\n")
                       .status
                == 200;
        }));
        // Longer than a change takes to reach the nodes.
        std::this_thread::sleep_for(seconds(2));
    }

    static steady_clock::time_point stop(mesh_fleet &fleet)
    {
        fleet.processAt(fleet.nodeIp(1)).kill(SIGTERM);
        const steady_clock::time_point stopped = steady_clock::now();
        // Later than this a caller's response would end after the limit of its socket.
        std::this_thread::sleep_for(milliseconds(1'000));
        return stopped;
    }

    static std::future<caller_outcome> call(const mesh_fleet &fleet,
                                            const std::string &method,
                                            const std::string &target,
                                            steady_clock::time_point stopped)
    {
        return std::async(std::launch::async, [&fleet, method, target, stopped] {
            const auto since = [stopped] {
                return std::chrono::duration_cast<milliseconds>(steady_clock::now() - stopped);
            };
            caller_outcome seen;
            seen.begunAt = since();
            seen.response = sendRequest(fleet.nodeIp(1),
                                        17504,
                                        method,
                                        target,
                                        "Host: shop.example\r\nX-Jackdawweir-Attempt-Id: 77\r\n",
                                        "");
            seen.endedAt = since();
            return seen;
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_test);

} // namespace jackdawweir::platform_process_test
