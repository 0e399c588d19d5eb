// Tests a whole mesh of real processes: changes by an operator, announcements of backend servers,
// requests, and the loss of processes.

#include <csignal>
#include <future>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

class mesh_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(mesh_path_test);
    CPPUNIT_TEST(carriesARequestFromNodeToNode);
    CPPUNIT_TEST(keepsAnAcceptedChangeWhenAllSourcesAreKilled);
    CPPUNIT_TEST(runsANonIdempotentRequestOnceWhenItsServerDisconnects);
    CPPUNIT_TEST(refusesRequestsBeforeTheFirstConfiguration);
    CPPUNIT_TEST(servesRequestsWhileItStops);
    CPPUNIT_TEST(appliesRaisedLimitsWithoutARequestThatFitsTheOldOnes);
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

    // Guards against a node that refuses all requests of callers that send larger bodies only,
    // although the limit was raised. No server is announced, so an accepted request gets 503.
    void appliesRaisedLimitsWithoutARequestThatFitsTheOldOnes()
    {
        mesh_fleet fleet(17);
        fleet.startSources(true);
        fleet.startNode(1, "desk");
        const auto replaceLimit = [&](int base, int version, const std::string &maxBodyBytes) {
            const std::string limits
                = R"(,{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
                    "headerTimeoutS":3,"idleTimeoutS":15,"maxBodyBytes":)"
                + maxBodyBytes + "}}]}";
            std::string changed = configuration(version, "stock");
            changed.replace(changed.rfind("]}"), 2, limits);
            return fleet
                .callSource(1,
                            "POST",
                            "/Config.Replace",
                            changed,
                            "X-Jackdawweir-Base-Version: r" + std::to_string(base) + "\r\n")
                .status;
        };
        const auto sendBody = [&] {
            return fleet.request(1, "POST", "/order/1", std::string(2'000, 'b')).status;
        };
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return replaceLimit(0, 3, "1000") == 200; }));
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return sendBody() == 413; }));
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return replaceLimit(3, 4, "10000") == 200; }));
        CPPUNIT_ASSERT(waitUntil(std::chrono::seconds(4), [&] { return sendBody() == 503; }));
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(mesh_path_test);

} // namespace jackdawweir::platform_process_test
