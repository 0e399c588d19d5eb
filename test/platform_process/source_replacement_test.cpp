// Tests with real processes that sources which are gone for good are replaced, one after the other,
// by sources with empty disks at other addresses.

#include <string>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

class source_replacement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(source_replacement_test);
    CPPUNIT_TEST(acceptsChangesAfterTwoSourcesWereReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lost voter that counts towards the quorum for so long after its successor
    // has joined that the next loss leaves no majority. The second source is lost as soon as the
    // first loss has been repaired: 4 s after the start of the successor.
    void acceptsChangesAfterTwoSourcesWereReplaced()
    {
        mesh_fleet fleet(31);
        fleet.startSources(true);
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return replace(fleet, 1, 0, 3, "stock") == 200; }));
        // The first source to start is the leader.
        fleet.kill(fleet.sourceIp(1));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        fleet.startSource(4, false);
        std::this_thread::sleep_for(std::chrono::seconds(4));
        fleet.kill(fleet.sourceIp(2));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        fleet.startSource(5, false);
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return replace(fleet, 3, 3, 4, "desk") == 200; }));
        for (const int source : {3, 4, 5}) {
            awaitRead(fleet, source, 4, "desk");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_replacement_test);

} // namespace jackdawweir::platform_process_test
