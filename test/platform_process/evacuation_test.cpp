// Tests the evacuation of a data centre in a mesh of real processes: the operator's calls, what
// callers get, and the loss of all sources.

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

class evacuation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(servesCallersOfAnEvacuatedDataCentreFromAnother);
    CPPUNIT_TEST(keepsAnEvacuationWhenAllSourcesAreKilled);
    CPPUNIT_TEST_SUITE_END();

public:
    static int evacuate(const mesh_fleet &fleet, int source, const char *call)
    {
        return fleet.callSource(source, "POST", std::string("/Evacuations.") + call, "").status;
    }

    // Sends the call again while its outcome is not known.
    static void evacuateUntilAcknowledged(const mesh_fleet &fleet, const char *call)
    {
        int source = 0;
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            source = source % mesh_fleet::sourceCount + 1;
            return evacuate(fleet, source, call) == 200;
        }));
    }

    // Node 1 is in data centre a and node 2 in b, each beside a server of "stock".
    static void
    serveBoth(mesh_fleet &fleet, const scripted_server &first, const scripted_server &second)
    {
        fleet.useSeveralDataCentres();
        startNodes(fleet);
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            return fleet.announce(1, "i-1", "stock", first.address().value, 1).status == 200
                && fleet.announce(2, "i-2", "stock", second.address().value, 1).status == 200;
        }));
        awaitBody(fleet, "/stock/1", "from a");
    }

    static void assertServedFromB(const mesh_fleet &fleet, const scripted_server &first)
    {
        awaitBody(fleet, "/stock/1", "from b");
        const std::size_t before = first.requestsReceived();
        for (int request = 0; request < 20; ++request) {
            for (const int node : {1, 2}) {
                CPPUNIT_ASSERT_EQUAL(std::string("from b"),
                                     fleet.request(node, "GET", "/stock/1").body);
            }
        }
        CPPUNIT_ASSERT_EQUAL(before, first.requestsReceived());
    }

    void servesCallersOfAnEvacuatedDataCentreFromAnother()
    {
        scripted_server first({{reply("from a"), after_reply::KeepOpen}});
        scripted_server second({{reply("from b"), after_reply::KeepOpen}});
        mesh_fleet fleet(61);
        serveBoth(fleet, first, second);
        evacuateUntilAcknowledged(fleet, "Begin/a");
        assertServedFromB(fleet, first);
        // A resend at any source is acknowledged again.
        evacuateUntilAcknowledged(fleet, "Begin/a");
        CPPUNIT_ASSERT_EQUAL(400, evacuate(fleet, 1, "Begin/"));
        evacuateUntilAcknowledged(fleet, "Finish/a");
        awaitBody(fleet, "/stock/1", "from a");
        evacuateUntilAcknowledged(fleet, "Finish/a");
    }

    // Guards against an acknowledged evacuation that is lost with the processes of all sources.
    void keepsAnEvacuationWhenAllSourcesAreKilled()
    {
        scripted_server first({{reply("from a"), after_reply::KeepOpen}});
        scripted_server second({{reply("from b"), after_reply::KeepOpen}});
        mesh_fleet fleet(62);
        serveBoth(fleet, first, second);
        evacuateUntilAcknowledged(fleet, "Begin/a");
        for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
            fleet.kill(fleet.sourceIp(index));
        }
        fleet.startSources(false);
        // A node that starts now learns of the evacuation from the sources alone.
        fleet.kill(fleet.nodeIp(1));
        fleet.startNode(1, "desk");
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] { return fleet.isReady(1); }));
        CPPUNIT_ASSERT_EQUAL(200,
                             fleet.announce(1, "i-1", "stock", first.address().value, 2).status);
        assertServedFromB(fleet, first);
        evacuateUntilAcknowledged(fleet, "Finish/a");
        awaitBody(fleet, "/stock/1", "from a");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

} // namespace jackdawweir::platform_process_test
