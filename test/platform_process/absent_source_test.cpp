// Tests with real processes that sources which have started again serve while another source is
// gone for good.

#include <chrono>
#include <string>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

using std::chrono::milliseconds;

namespace {

// After the last start of a source the core counts as stable within 3 s, and a change may then take
// 4 s.
constexpr std::chrono::seconds acceptedAfterStart{7};

constexpr milliseconds restartPause{300};

} // namespace

class absent_source_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(absent_source_test);
    CPPUNIT_TEST(servesAfterARestartWhileAnotherSourceIsGone);
    CPPUNIT_TEST(admitsASuccessorAfterARestartBeforeItsStart);
    CPPUNIT_TEST(servesAfterAllWereKilledAndOneIsGone);
    CPPUNIT_TEST(servesAfterAllWereKilledAndOneIsReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each of these guards against two of three sources that run and are connected and that
    // acknowledge no change and answer no read for good, since one of them has started again.
    void servesAfterARestartWhileAnotherSourceIsGone()
    {
        mesh_fleet fleet(32);
        start(fleet);
        fleet.kill(fleet.sourceIp(1));
        std::this_thread::sleep_for(std::chrono::seconds(5));
        killAndRestart(fleet, 2);
        checkServes(fleet, 2, 3);
    }

    // Only a leader can admit the successor.
    void admitsASuccessorAfterARestartBeforeItsStart()
    {
        mesh_fleet fleet(33);
        start(fleet);
        fleet.kill(fleet.sourceIp(1));
        std::this_thread::sleep_for(milliseconds(500));
        killAndRestart(fleet, 2);
        std::this_thread::sleep_for(milliseconds(200));
        fleet.startSource(4, false);
        checkServes(fleet, 3, 4);
    }

    void servesAfterAllWereKilledAndOneIsGone()
    {
        mesh_fleet fleet(34);
        start(fleet);
        killAll(fleet);
        fleet.startSource(2, false);
        fleet.startSource(3, false);
        checkServes(fleet, 2, 3);
    }

    void servesAfterAllWereKilledAndOneIsReplaced()
    {
        mesh_fleet fleet(35);
        start(fleet);
        killAll(fleet);
        fleet.startSource(1, false);
        fleet.startSource(3, false);
        std::this_thread::sleep_for(std::chrono::seconds(1));
        fleet.startSource(4, false);
        checkServes(fleet, 3, 4);
    }

private:
    static void start(mesh_fleet &fleet)
    {
        fleet.startSources(true);
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return replace(fleet, 1, 0, 3, "stock") == 200; }));
    }

    static void killAndRestart(mesh_fleet &fleet, int source)
    {
        fleet.kill(fleet.sourceIp(source));
        std::this_thread::sleep_for(restartPause);
        fleet.startSource(source, false);
    }

    static void killAll(mesh_fleet &fleet)
    {
        for (int source = 1; source <= mesh_fleet::sourceCount; ++source) {
            fleet.kill(fleet.sourceIp(source));
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }

    // Checks that a change is acknowledged in time by one source, and then read at the other.
    static void checkServes(const mesh_fleet &fleet, int changedAt, int readAt)
    {
        CPPUNIT_ASSERT(waitUntil(acceptedAfterStart,
                                 [&] { return replace(fleet, changedAt, 3, 4, "desk") == 200; }));
        awaitRead(fleet, readAt, 4, "desk", acceptedAfterStart);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(absent_source_test);

} // namespace jackdawweir::platform_process_test
