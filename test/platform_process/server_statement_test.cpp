// Tests with real processes that a backend server gets no more requests than it states in its
// responses, and none once it states that it leaves, also after a restart of its node.

#include <chrono>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

class server_statement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_statement_test);
    CPPUNIT_TEST(sendsNoMoreThanAServerStatesAfterItsNodeRestarted);
    CPPUNIT_TEST(sendsNothingToAServerThatStatesItsLeaveAfterItsNodeRestarted);
    CPPUNIT_TEST(readsStatementsWithThePrefixOfThePlatform);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::string stating(const std::string &header)
    {
        const std::string plain = reply("from the stock");
        return plain.substr(0, plain.find("\r\n") + 2) + header + "\r\n"
            + plain.substr(plain.find("\r\n") + 2);
    }

    static void restartNode(mesh_fleet &fleet, const scripted_server &stock)
    {
        fleet.kill(fleet.nodeIp(2));
        fleet.startNode(2, "stock");
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return fleet.isReady(2); }));
        CPPUNIT_ASSERT_EQUAL(
            200, fleet.announce(2, "i-stock", "stock", stock.address().value, 2).status);
    }

    // Guards against a limit that the node beside the server does not keep, or forgets when it
    // restarts.
    void sendsNoMoreThanAServerStatesAfterItsNodeRestarted()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{stating("Server-Limit: 2.5"), after_reply::KeepOpen}});
        mesh_fleet fleet(51);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        assertLimitIsKept(fleet, stock);
        restartNode(fleet, stock);
        assertLimitIsKept(fleet, stock);
    }

    // Guards against a leave that only the responses of a server state, and that is lost with the
    // process that read it.
    void sendsNothingToAServerThatStatesItsLeaveAfterItsNodeRestarted()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock({{stating("Server-Leaving: 1"), after_reply::KeepOpen}});
        mesh_fleet fleet(52);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        CPPUNIT_ASSERT(waitUntil(
            waitTimeout, [&] { return fleet.request(1, "GET", "/stock/1").status == 503; }));
        restartNode(fleet, stock);
        assertNoRequestArrives(fleet, stock);
    }

    // Guards against a server that is sent too many requests since it spells the header as the
    // platform's others.
    void readsStatementsWithThePrefixOfThePlatform()
    {
        scripted_server desk({{reply("from the desk"), after_reply::KeepOpen}});
        scripted_server stock(
            {{stating("X-Jackdawweir-Server-Limit: 2.5"), after_reply::KeepOpen}});
        mesh_fleet fleet(53);
        serve(fleet, desk, stock);
        awaitBody(fleet, "/stock/1", "from the stock");
        assertLimitIsKept(fleet, stock);
    }

private:
    // Sends requests for 4 s, and allows what the operators' rule does.
    static void assertLimitIsKept(const mesh_fleet &fleet, const scripted_server &stock)
    {
        const std::size_t before = stock.requestsReceived();
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
        while (std::chrono::steady_clock::now() < end) {
            fleet.request(1, "GET", "/stock/1");
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        const std::size_t arrived = stock.requestsReceived() - before;
        CPPUNIT_ASSERT(arrived > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(arrived) + " requests in 4 s", arrived <= 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_statement_test);

} // namespace jackdawweir::platform_process_test
