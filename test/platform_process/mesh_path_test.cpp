// Tests a whole mesh of real processes: changes by an operator, announcements of backend servers,
// requests, and the loss of processes.

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

// The timeout only ends failing tests.
constexpr std::chrono::seconds waitTimeout{20};

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
    CPPUNIT_TEST(runsANonIdempotentRequestOnceWhenItsServerDisconnects);
    CPPUNIT_TEST(refusesRequestsBeforeTheFirstConfiguration);
    CPPUNIT_TEST(servesRequestsWhileItStops);
    CPPUNIT_TEST(sendsNothingToAServerThatLeftBeforeItsFirstAnnouncement);
    CPPUNIT_TEST(sendsNothingToAServerThatLeftBeforeItsNodeRestarted);
    CPPUNIT_TEST(sendsNothingToAServerThatLeftBeforeItsNodeAndEachSourceRestarted);
    CPPUNIT_TEST(sendsNothingToAServerThatLeftBeforeItsNodeAndAllSourcesWereKilled);
    CPPUNIT_TEST(sendsNothingToAServerThatLeftBeforeAllWereKilledAndADiskWasLost);
    CPPUNIT_TEST(acknowledgesNoDeregistrationThatNoSourceStores);
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
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return replace(fleet, 3, 3, 5, "desk") == 200; }));
        awaitBody(fleet, "/stock/1", "from the desk");
        // Sending the same change again is acknowledged; another change with the same base version
        // is rejected.
        CPPUNIT_ASSERT_EQUAL(200, replace(fleet, 2, 3, 5, "desk"));
        CPPUNIT_ASSERT_EQUAL(412, replace(fleet, 2, 3, 6, "stock"));
        // A draining server gets no more requests.
        CPPUNIT_ASSERT_EQUAL(200, replaceUntilDecided(fleet, 5, 8, "stock"));
        awaitBody(fleet, "/stock/1", "from the stock");
        fleet.announce(2, "i-stock", "stock", stock.address().value, 9, "draining");
        CPPUNIT_ASSERT(waitUntil(
            waitTimeout, [&] { return fleet.request(1, "GET", "/stock/1").status == 503; }));
    }

    // Guards against an acknowledged change that is lost, and against reads of an older
    // configuration.
    void keepsAnAcceptedChangeWhenAllSourcesAreKilled()
    {
        mesh_fleet fleet(2);
        fleet.startSources(true);
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return replace(fleet, 1, 0, 3, "stock") == 200; }));
        CPPUNIT_ASSERT_EQUAL(200, replaceUntilDecided(fleet, 3, 4, "desk"));
        for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
            fleet.kill(fleet.sourceIp(index));
        }
        fleet.startSources(false);
        call_response read;
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            read = fleet.callSource(2, "GET", "/Config.Read", "");
            return read.status == 200;
        }));
        CPPUNIT_ASSERT_EQUAL(configuration(4, "desk"), read.body);
    }

    void runsANonIdempotentRequestOnceWhenItsServerDisconnects()
    {
        scripted_server desk({{reply("unused"), after_reply::KeepOpen}});
        scripted_server stock({{"", after_reply::Close}});
        mesh_fleet fleet(3);
        serve(fleet, desk, stock);
        call_response response;
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            response = fleet.request(1, "POST", "/order/1");
            return response.status == 502;
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stock.requestsReceived());
    }

    void refusesRequestsBeforeTheFirstConfiguration()
    {
        mesh_fleet fleet(4);
        fleet.startNode(1, "desk");
        call_response response;
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            response = fleet.request(1, "GET", "/stock/1");
            return response.status != 0;
        }));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(!fleet.isReady(1));
    }

    void servesRequestsWhileItStops()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(5);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        fleet.processAt(fleet.nodeIp(1)).kill(SIGTERM);
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return !fleet.isReady(1); }));
        // Callers that have not yet checked the readiness are still served.
        CPPUNIT_ASSERT_EQUAL(std::string("from the stock"),
                             fleet.request(1, "GET", "/stock/1").body);
        const auto code = fleet.processAt(fleet.nodeIp(1)).waitForExit(std::chrono::seconds(8));
        CPPUNIT_ASSERT(code.has_value());
        CPPUNIT_ASSERT_EQUAL(0, *code);
    }

    // Guards against a deregistration that is acknowledged but not stored, since the server has not
    // announced itself yet.
    void sendsNothingToAServerThatLeftBeforeItsFirstAnnouncement()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(6);
        startNodes(fleet);
        CPPUNIT_ASSERT_EQUAL(200, fleet.withdraw(2, "i-stock").status);
        CPPUNIT_ASSERT_EQUAL(
            200, fleet.announce(2, "i-stock", "stock", stock.address().value, 1).status);
        assertNoRequestArrives(fleet, stock);
    }

    // Guards against a deregistration that is lost when the node that acknowledged it is killed.
    void sendsNothingToAServerThatLeftBeforeItsNodeRestarted()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(7);
        deregisterStockAndKillItsNode(fleet, desk, stock);
        assertDelayedAnnouncementIsIgnored(fleet, stock);
    }

    // Guards against a deregistration that is lost when the sources restart one after the other
    // while the node that acknowledged it is down.
    void sendsNothingToAServerThatLeftBeforeItsNodeAndEachSourceRestarted()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(8);
        deregisterStockAndKillItsNode(fleet, desk, stock);
        for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
            fleet.kill(fleet.sourceIp(index));
            fleet.startSource(index, false);
            awaitSource(fleet, index);
        }
        assertDelayedAnnouncementIsIgnored(fleet, stock);
    }

    // Guards against a deregistration that is lost when the node that acknowledged it and all
    // sources are killed at the same moment.
    void sendsNothingToAServerThatLeftBeforeItsNodeAndAllSourcesWereKilled()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(11);
        deregisterStockAndKillItsNodeAndAllSources(fleet, desk, stock);
        fleet.startSources(false);
        assertDelayedAnnouncementIsIgnored(fleet, stock);
    }

    // Guards against a deregistration that is acknowledged while only one disk holds it.
    void sendsNothingToAServerThatLeftBeforeAllWereKilledAndADiskWasLost()
    {
        for (int lost = 1; lost <= mesh_fleet::sourceCount; ++lost) {
            scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
            scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
            mesh_fleet fleet(11 + lost);
            deregisterStockAndKillItsNodeAndAllSources(fleet, desk, stock);
            fleet.eraseDisk(lost);
            fleet.startSources(false);
            assertDelayedAnnouncementIsIgnored(fleet, stock);
        }
    }

    // Guards against an acknowledgement that only the memory of a node backs. The departure is in
    // force nevertheless.
    void acknowledgesNoDeregistrationThatNoSourceStores()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{reply("from the stock"), after_reply::KeepOpen}});
        mesh_fleet fleet(15);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
            fleet.processAt(fleet.sourceIp(index)).kill(SIGSTOP);
        }
        CPPUNIT_ASSERT_EQUAL(503, fleet.withdraw(2, "i-stock").status);
        CPPUNIT_ASSERT(waitUntil(
            waitTimeout, [&] { return fleet.request(1, "GET", "/stock/1").status == 503; }));
        assertNoRequestArrives(fleet, stock);
        for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
            fleet.processAt(fleet.sourceIp(index)).kill(SIGCONT);
        }
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return fleet.withdraw(2, "i-stock").status == 200; }));
    }

    // Guards against a stopping source that accepts an operator's call and exits without a
    // response.
    void answersOperatorsUntilASourceEnds()
    {
        mesh_fleet fleet(9);
        stopWithAPendingChange(fleet, 3, {1, 2});
    }

    // The first source to start is the leader, so it decides the change itself.
    void answersOperatorsUntilTheLeadingSourceEnds()
    {
        mesh_fleet fleet(10);
        stopWithAPendingChange(fleet, 1, {2, 3});
    }

private:
    // Stops one source while a change is pending there. The change gets no majority, since the
    // other sources are paused.
    static void
    stopWithAPendingChange(mesh_fleet &fleet, int stopped, const std::vector<int> &paused)
    {
        fleet.startSources(true);
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return replace(fleet, stopped, 0, 3, "stock") == 200; }));
        for (const int each : paused) {
            fleet.processAt(fleet.sourceIp(each)).kill(SIGSTOP);
        }
        std::future<int> first = std::async(std::launch::async,
                                            [&] { return replace(fleet, stopped, 3, 4, "stock"); });
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        process_test::child_process &stopping = fleet.processAt(fleet.sourceIp(stopped));
        stopping.kill(SIGTERM);
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        CPPUNIT_ASSERT_EQUAL(503, replace(fleet, stopped, 3, 5, "desk"));
        CPPUNIT_ASSERT_EQUAL(503, first.get());
        CPPUNIT_ASSERT_EQUAL(0, stopping.waitForExit(std::chrono::seconds(6)).value_or(-1));
        for (const int each : paused) {
            fleet.processAt(fleet.sourceIp(each)).kill(SIGCONT);
        }
    }

    // Waits until a restarted source can read the configuration, and then for longer than the
    // interval of hello messages between the sources.
    static void awaitSource(const mesh_fleet &fleet, int index)
    {
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            return fleet.callSource(index, "GET", "/Config.Read", "").status == 200;
        }));
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
    }

    // Starts the mesh, deregisters the server "stock", and kills the node that acknowledged this
    // once requests are refused.
    static void deregisterStockAndKillItsNode(mesh_fleet &fleet,
                                              const scripted_server &desk,
                                              const scripted_server &stock)
    {
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        CPPUNIT_ASSERT_EQUAL(200, fleet.withdraw(2, "i-stock").status);
        CPPUNIT_ASSERT(waitUntil(
            waitTimeout, [&] { return fleet.request(1, "GET", "/stock/1").status == 503; }));
        fleet.kill(fleet.nodeIp(2));
    }

    // Starts the mesh, deregisters the server "stock", and kills its node and all sources as soon
    // as this is acknowledged.
    static void deregisterStockAndKillItsNodeAndAllSources(mesh_fleet &fleet,
                                                           const scripted_server &desk,
                                                           const scripted_server &stock)
    {
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        CPPUNIT_ASSERT_EQUAL(200, fleet.withdraw(2, "i-stock").status);
        fleet.kill(fleet.nodeIp(2));
        for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
            fleet.kill(fleet.sourceIp(index));
        }
    }

    // Restarts the node, delivers a delayed announcement and checks that the server still gets no
    // requests.
    static void assertDelayedAnnouncementIsIgnored(mesh_fleet &fleet, const scripted_server &stock)
    {
        fleet.startNode(2, "stock");
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return fleet.isReady(2); }));
        CPPUNIT_ASSERT_EQUAL(
            200, fleet.announce(2, "i-stock", "stock", stock.address().value, 2).status);
        assertNoRequestArrives(fleet, stock);
    }

    // Sends requests to both nodes for longer than a change of the servers takes to reach them.
    static void assertNoRequestArrives(const mesh_fleet &fleet, const scripted_server &server)
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

    // Starts the sources and two nodes, and applies a configuration whose routes lead to "stock".
    static void startNodes(mesh_fleet &fleet)
    {
        fleet.startSources(true);
        fleet.startNode(1, "desk");
        fleet.startNode(2, "stock");
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return replace(fleet, 1, 0, 3, "stock") == 200; }));
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return fleet.isReady(1) && fleet.isReady(2); }));
    }

    // Does the same as startNodes() and announces the servers: "desk" on the host of node 1,
    // "stock" on the host of node 2.
    static void serve(mesh_fleet &fleet, const scripted_server &desk, const scripted_server &stock)
    {
        startNodes(fleet);
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
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
    replaceUntilDecided(const mesh_fleet &fleet, int base, int version, const std::string &service)
    {
        int status = 503;
        waitUntil(waitTimeout, [&] {
            status = replace(fleet, 1, base, version, service);
            return status != 503 && status != 0;
        });
        return status;
    }

    static void
    awaitBody(const mesh_fleet &fleet, const std::string &target, const std::string &expected)
    {
        call_response response;
        waitUntil(waitTimeout, [&] {
            response = fleet.request(1, "GET", target);
            return response.body == expected;
        });
        CPPUNIT_ASSERT_EQUAL(expected, response.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(mesh_path_test);

} // namespace jackdawweir::platform_process_test
