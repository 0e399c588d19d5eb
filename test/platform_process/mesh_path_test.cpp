// The whole path over real processes: an operator's change, announcements, requests, losses.

#include <csignal>
#include <future>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_fleet.h"
#include "process/wait.h"
#include "support/scripted_server.h"

namespace jackdawweir::platform_process_test {

using process_test::waitUntil;
using test::after_reply;
using test::scripted_server;

namespace {

// Bounds only end a failing test.
constexpr std::chrono::seconds bound{20};

std::string reply(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Jackdawweir-Attempt-Id: 77\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class mesh_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(mesh_path_test);
    CPPUNIT_TEST(carriesARequestFromNodeToNode);
    CPPUNIT_TEST(keepsAnAcceptedChangeWhenAllSourcesAreKilled);
    CPPUNIT_TEST(runsAnOrderOnceWhenItsServerBreaksOff);
    CPPUNIT_TEST(refusesTruthfullyBeforeTheFirstChange);
    CPPUNIT_TEST(finishesRequestsWhenItIsStopped);
    CPPUNIT_TEST(sendsNothingToAServerThatLeftBeforeItsFirstAnnouncement);
    CPPUNIT_TEST(sendsNothingToAServerThatLeftBeforeItsNodeStartedAgain);
    CPPUNIT_TEST(sendsNothingToAServerThatLeftBeforeItsNodeAndEachSourceStartedAgain);
    CPPUNIT_TEST(answersOperatorsUntilASourceEnds);
    CPPUNIT_TEST(answersOperatorsUntilTheLeadingSourceEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void carriesARequestFromNodeToNode()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(1);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        CPPUNIT_ASSERT_EQUAL(404, fleet.request(1, "GET", "/elsewhere/1").status);
        // A change moves the route to the other service.
        CPPUNIT_ASSERT(waitUntil(bound, [&] { return replace(fleet, 3, 3, 5, "desk") == 200; }));
        awaitBody(fleet, "/stock/1", "from the desk");
        // The same change again is acknowledged, another one on the same base is not.
        CPPUNIT_ASSERT_EQUAL(200, replace(fleet, 2, 3, 5, "desk"));
        CPPUNIT_ASSERT_EQUAL(412, replace(fleet, 2, 3, 6, "stock"));
        // A server that leaves gets no more requests.
        CPPUNIT_ASSERT_EQUAL(200, replaceUntilClear(fleet, 5, 8, "stock"));
        awaitBody(fleet, "/stock/1", "from the stock");
        fleet.announce(2, "i-stock", "stock", stock.address().value, 9, "draining");
        CPPUNIT_ASSERT(
            waitUntil(bound, [&] { return fleet.request(1, "GET", "/stock/1").status == 503; }));
    }

    // Guards against a change that was acknowledged and is gone, or an older one that is read.
    void keepsAnAcceptedChangeWhenAllSourcesAreKilled()
    {
        mesh_fleet fleet(2);
        fleet.startSources(true);
        CPPUNIT_ASSERT(waitUntil(bound, [&] { return replace(fleet, 1, 0, 3, "stock") == 200; }));
        CPPUNIT_ASSERT_EQUAL(200, replaceUntilClear(fleet, 3, 4, "desk"));
        for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
            fleet.kill(fleet.sourceIp(index));
        }
        fleet.startSources(false);
        call_answer read;
        CPPUNIT_ASSERT(waitUntil(bound, [&] {
            read = fleet.callSource(2, "GET", "/Config.Read", "");
            return read.status == 200;
        }));
        CPPUNIT_ASSERT_EQUAL(configuration(4, "desk"), read.body);
    }

    void runsAnOrderOnceWhenItsServerBreaksOff()
    {
        scripted_server desk({{reply("unused"), after_reply::KeepOpen}});
        scripted_server stock({{"", after_reply::Close}});
        mesh_fleet fleet(3);
        serve(fleet, desk, stock);
        call_answer answer;
        CPPUNIT_ASSERT(waitUntil(bound, [&] {
            answer = fleet.request(1, "POST", "/order/1");
            return answer.status == 502;
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stock.requestsReceived());
    }

    void refusesTruthfullyBeforeTheFirstChange()
    {
        mesh_fleet fleet(4);
        fleet.startNode(1, "desk");
        call_answer answer;
        CPPUNIT_ASSERT(waitUntil(bound, [&] {
            answer = fleet.request(1, "GET", "/stock/1");
            return answer.status != 0;
        }));
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(!fleet.isReady(1));
    }

    void finishesRequestsWhenItIsStopped()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(5);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        fleet.processAt(fleet.nodeIp(1)).kill(SIGTERM);
        CPPUNIT_ASSERT(waitUntil(bound, [&] { return !fleet.isReady(1); }));
        // Callers that have not noticed yet are still served.
        CPPUNIT_ASSERT_EQUAL(std::string("from the stock"),
                             fleet.request(1, "GET", "/stock/1").body);
        const auto code = fleet.processAt(fleet.nodeIp(1)).waitForExit(std::chrono::seconds(8));
        CPPUNIT_ASSERT(code.has_value());
        CPPUNIT_ASSERT_EQUAL(0, *code);
    }

    // Guards against a leave that is acknowledged and forgotten, since the server was not known.
    void sendsNothingToAServerThatLeftBeforeItsFirstAnnouncement()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(6);
        startNodes(fleet);
        CPPUNIT_ASSERT_EQUAL(200, fleet.withdraw(2, "i-stock").status);
        CPPUNIT_ASSERT_EQUAL(
            200, fleet.announce(2, "i-stock", "stock", stock.address().value, 1).status);
        assertNothingArrives(fleet, stock);
    }

    // Guards against a leave that is lost with the process that acknowledged it.
    void sendsNothingToAServerThatLeftBeforeItsNodeStartedAgain()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(7);
        serveUntilStockLeft(fleet, desk, stock);
        assertStockStaysAway(fleet, stock);
    }

    // Guards against a leave that is forgotten by one source after the other while its node is
    // down.
    void sendsNothingToAServerThatLeftBeforeItsNodeAndEachSourceStartedAgain()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(8);
        serveUntilStockLeft(fleet, desk, stock);
        for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
            fleet.kill(fleet.sourceIp(index));
            fleet.startSource(index, false);
            awaitSource(fleet, index);
        }
        assertStockStaysAway(fleet, stock);
    }

    // Guards against a stopping source that takes an operator's call and ends without an answer.
    void answersOperatorsUntilASourceEnds()
    {
        mesh_fleet fleet(9);
        stopWithAnOpenOrder(fleet, 3, {1, 2});
    }

    // The first source to start leads, so it decides the order itself.
    void answersOperatorsUntilTheLeadingSourceEnds()
    {
        mesh_fleet fleet(10);
        stopWithAnOpenOrder(fleet, 1, {2, 3});
    }

private:
    // Stops one source while an order waits there for a majority, since the others are paused.
    static void stopWithAnOpenOrder(mesh_fleet &fleet, int stopped, const std::vector<int> &paused)
    {
        fleet.startSources(true);
        CPPUNIT_ASSERT(
            waitUntil(bound, [&] { return replace(fleet, stopped, 0, 3, "stock") == 200; }));
        for (const int each : paused) {
            fleet.processAt(fleet.sourceIp(each)).kill(SIGSTOP);
        }
        std::future<int> first = std::async(std::launch::async,
                                            [&] { return replace(fleet, stopped, 3, 4, "stock"); });
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        process_test::child_process &ending = fleet.processAt(fleet.sourceIp(stopped));
        ending.kill(SIGTERM);
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        CPPUNIT_ASSERT_EQUAL(503, replace(fleet, stopped, 3, 5, "desk"));
        CPPUNIT_ASSERT_EQUAL(503, first.get());
        CPPUNIT_ASSERT_EQUAL(0, ending.waitForExit(std::chrono::seconds(6)).value_or(-1));
        for (const int each : paused) {
            fleet.processAt(fleet.sourceIp(each)).kill(SIGCONT);
        }
    }

    // Waits until a started source follows the others, and for longer than the pause between their
    // greetings.
    static void awaitSource(const mesh_fleet &fleet, int index)
    {
        CPPUNIT_ASSERT(waitUntil(bound, [&] {
            return fleet.callSource(index, "GET", "/Config.Read", "").status == 200;
        }));
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
    }

    // Serves until the server "stock" has left, and kills the node that acknowledged it.
    static void serveUntilStockLeft(mesh_fleet &fleet,
                                    const scripted_server &desk,
                                    const scripted_server &stock)
    {
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        CPPUNIT_ASSERT_EQUAL(200, fleet.withdraw(2, "i-stock").status);
        CPPUNIT_ASSERT(
            waitUntil(bound, [&] { return fleet.request(1, "GET", "/stock/1").status == 503; }));
        fleet.kill(fleet.nodeIp(2));
    }

    // Starts the node again, lets a held-back announcement arrive and checks that nobody believes
    // it.
    static void assertStockStaysAway(mesh_fleet &fleet, const scripted_server &stock)
    {
        fleet.startNode(2, "stock");
        CPPUNIT_ASSERT(waitUntil(bound, [&] { return fleet.isReady(2); }));
        CPPUNIT_ASSERT_EQUAL(
            200, fleet.announce(2, "i-stock", "stock", stock.address().value, 2).status);
        assertNothingArrives(fleet, stock);
    }

    // Asks both nodes for longer than news of a server takes to reach them.
    static void assertNothingArrives(const mesh_fleet &fleet, const scripted_server &server)
    {
        const std::size_t before = server.requestsReceived();
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
        while (std::chrono::steady_clock::now() < end) {
            for (const int node : {1, 2}) {
                CPPUNIT_ASSERT_EQUAL(503, fleet.request(node, "GET", "/stock/1").status);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        CPPUNIT_ASSERT_EQUAL(before, server.requestsReceived());
    }

    // Starts sources and two nodes, and accepts a policy whose routes lead to "stock".
    static void startNodes(mesh_fleet &fleet)
    {
        fleet.startSources(true);
        fleet.startNode(1, "desk");
        fleet.startNode(2, "stock");
        CPPUNIT_ASSERT(waitUntil(bound, [&] { return replace(fleet, 1, 0, 3, "stock") == 200; }));
        CPPUNIT_ASSERT(waitUntil(bound, [&] { return fleet.isReady(1) && fleet.isReady(2); }));
    }

    // The same, and announces the servers: "desk" beside node 1, "stock" beside node 2.
    static void serve(mesh_fleet &fleet, const scripted_server &desk, const scripted_server &stock)
    {
        startNodes(fleet);
        CPPUNIT_ASSERT(waitUntil(bound, [&] {
            return fleet.announce(1, "i-desk", "desk", desk.address().value, 1).status == 200
                && fleet.announce(2, "i-stock", "stock", stock.address().value, 1).status == 200;
        }));
    }

    static int
    replace(const mesh_fleet &fleet, int source, int base, int version, const std::string &service)
    {
        return fleet
            .callSource(source,
                        "POST",
                        "/Config.Replace",
                        configuration(version, service),
                        "X-Jackdawweir-Base-Version: r" + std::to_string(base) + "\r\n")
            .status;
    }

    // Sends the change again while its outcome is not known.
    static int
    replaceUntilClear(const mesh_fleet &fleet, int base, int version, const std::string &service)
    {
        int status = 503;
        waitUntil(bound, [&] {
            status = replace(fleet, 1, base, version, service);
            return status != 503 && status != 0;
        });
        return status;
    }

    static void
    awaitBody(const mesh_fleet &fleet, const std::string &target, const std::string &expected)
    {
        call_answer answer;
        waitUntil(bound, [&] {
            answer = fleet.request(1, "GET", target);
            return answer.body == expected;
        });
        CPPUNIT_ASSERT_EQUAL(expected, answer.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(mesh_path_test);

} // namespace jackdawweir::platform_process_test
