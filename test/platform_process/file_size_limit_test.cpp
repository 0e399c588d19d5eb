// Tests with real processes of sources whose writes a limit on the size of
// files refuses for a while.

#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

namespace {

// Longer than a source takes to open its files again after a failure.
constexpr std::chrono::seconds limitedFor{3};

} // namespace

class file_size_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(file_size_limit_test);
    CPPUNIT_TEST(runsOnWhileWritesExceedTheLimit);
    CPPUNIT_TEST(logsAgainOnceTheLimitIsLifted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a source that the signal of a refused write ends, so that a
    // planned restart of another source leaves no majority: no change is
    // acknowledged and no read is answered then.
    void runsOnWhileWritesExceedTheLimit()
    {
        mesh_fleet fleet(41);
        start(fleet);
        int version = 3;
        for (int source = 1; source <= mesh_fleet::sourceCount; ++source) {
            process_test::child_process &limited = fleet.processAt(fleet.sourceIp(source));
            limited.limitFileSize(0);
            change(fleet, source % mesh_fleet::sourceCount + 1, version++);
            CPPUNIT_ASSERT(!limited.waitForExit(limitedFor));
            limited.limitFileSize(std::nullopt);
            change(fleet, source, version++);
        }
        fleet.processAt(fleet.sourceIp(2)).kill(SIGTERM);
        CPPUNIT_ASSERT(fleet.processAt(fleet.sourceIp(2)).waitForExit(waitTimeout) == 0);
        fleet.startSource(2, false);
        change(fleet, 2, version++);
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            return fleet.callSource(2, "GET", "/Config.Read", "").body
                == configuration(static_cast<std::uint64_t>(version), "desk");
        }));
    }

    // Guards against a process that logs nothing until its end after one refused
    // write to its log.
    void logsAgainOnceTheLimitIsLifted()
    {
        mesh_fleet fleet(42);
        start(fleet);
        process_test::child_process &limited = fleet.processAt(fleet.sourceIp(1));
        limited.limitFileSize(0);
        change(fleet, 2, 3);
        CPPUNIT_ASSERT(!limited.waitForExit(limitedFor));
        limited.limitFileSize(std::nullopt);
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            return logOf(fleet, 1).find("event=storage-reopened") != std::string::npos;
        }));
    }

private:
    static void start(mesh_fleet &fleet)
    {
        fleet.startSources(true);
        CPPUNIT_ASSERT(
            waitUntil(waitTimeout, [&] { return replace(fleet, 1, 0, 3, "stock") == 200; }));
    }

    // Sends the next version until it is acknowledged.
    static void change(const mesh_fleet &fleet, int source, int version)
    {
        CPPUNIT_ASSERT(waitUntil(waitTimeout, [&] {
            return replace(fleet, source, version, version + 1, "desk") == 200;
        }));
    }

    static std::string logOf(const mesh_fleet &fleet, int source)
    {
        std::ifstream log(fleet.folder() / (fleet.sourceIp(source) + ".log"));
        return std::string(std::istreambuf_iterator<char>(log), std::istreambuf_iterator<char>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(file_size_limit_test);

} // namespace jackdawweir::platform_process_test
