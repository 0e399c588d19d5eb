// Tests the driver of a replica with in-memory disks and a simulated network and clock.

#include "jackdawweir/agreement/replicated_log.h"

#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "support/log_group.h"

namespace jackdawweir::agreement {

using namespace std::chrono_literals;
using test::log_group;

class replicated_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replicated_log_test);
    CPPUNIT_TEST(votesAgainOnceAFullDiskHasSpace);
    CPPUNIT_TEST(leadsOnWhenTheDiskOfTheLeaderWasFull);
    CPPUNIT_TEST(recoversFromFullDisksInTurn);
    CPPUNIT_TEST(votesOnceADiskThatWasFullAtTheStartHasSpace);
    CPPUNIT_TEST(refusesInitWhileItsDiskIsFull);
    CPPUNIT_TEST(initialisesOnceAFullDiskHasSpace);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a source that never votes again after its disk was full once, so that the
    // restart of another source leaves no majority.
    void votesAgainOnceAFullDiskHasSpace()
    {
        log_group group;
        group.run(5s);
        const std::size_t follower = (group.leader().value() + 1) % group.size();
        group.diskOf(follower).setFull(true);
        CPPUNIT_ASSERT(group.commits("while full", 4'500ms));
        group.diskOf(follower).setFull(false);
        CPPUNIT_ASSERT(group.commits("with space", 13'000ms));
        group.restart((follower + 1) % group.size());
        group.run(5s);
        CPPUNIT_ASSERT(group.commits("after the restart", 2s));
        const std::vector<std::string> expected{"while full", "with space", "after the restart"};
        for (std::size_t index = 0; index < group.size(); ++index) {
            CPPUNIT_ASSERT(group.appliedBy(index) == expected);
        }
    }

    void leadsOnWhenTheDiskOfTheLeaderWasFull()
    {
        log_group group;
        group.run(5s);
        const std::size_t first = group.leader().value();
        group.diskOf(first).setFull(true);
        CPPUNIT_ASSERT(!group.commits("lost with the leader", 3s));
        CPPUNIT_ASSERT(group.leader().has_value() && group.leader() != first);
        group.diskOf(first).setFull(false);
        group.run(3s);
        group.restart((first + 1) % group.size());
        group.run(5s);
        CPPUNIT_ASSERT(group.commits("later", 2s));
        CPPUNIT_ASSERT(group.appliedBy(first) == group.appliedBy((first + 1) % group.size()));
    }

    void recoversFromFullDisksInTurn()
    {
        log_group group;
        group.run(5s);
        for (std::size_t index = 0; index < group.size(); ++index) {
            group.diskOf(index).setFull(true);
            group.commits("while disk " + std::to_string(index) + " is full", 4'500ms);
            group.diskOf(index).setFull(false);
            group.run(8s);
            CPPUNIT_ASSERT(group.commits("after disk " + std::to_string(index) + " was full", 2s));
        }
    }

    // Guards against a process that ends because its disk is full when it starts.
    void votesOnceADiskThatWasFullAtTheStartHasSpace()
    {
        log_group group;
        group.run(5s);
        const std::size_t restarted = (group.leader().value() + 1) % group.size();
        group.diskOf(restarted).setFull(true);
        group.restart(restarted);
        CPPUNIT_ASSERT(group.commits("while full", 3s));
        group.diskOf(restarted).setFull(false);
        group.run(2s);
        group.restart((restarted + 1) % group.size());
        group.run(5s);
        CPPUNIT_ASSERT(group.commits("after the next restart", 2s));
        CPPUNIT_ASSERT(group.appliedBy(restarted)
                       == std::vector<std::string>({"while full", "after the next restart"}));
    }

    // Guards against an operator's init that discards the log of a member, or ends its process,
    // while its files can't be opened.
    void refusesInitWhileItsDiskIsFull()
    {
        log_group group;
        group.run(5s);
        const std::size_t full = (group.leader().value() + 1) % group.size();
        CPPUNIT_ASSERT(group.commits("before", 1s));
        group.diskOf(full).setFull(true);
        CPPUNIT_ASSERT(group.commits("while full", 3s));
        const core::status refused = group.init(full);
        CPPUNIT_ASSERT(!core::isOk(refused));
        CPPUNIT_ASSERT(core::errorIn(refused)->code == core::error_code::Unavailable);
        group.diskOf(full).setFull(false);
        group.run(3s);
        CPPUNIT_ASSERT(group.appliedBy(full) == std::vector<std::string>({"before", "while full"}));
    }

    // Guards against a log that stays closed because its disk was full during the init.
    void initialisesOnceAFullDiskHasSpace()
    {
        log_group group({.sources = 1, .isInitialised = false, .replica = {}});
        group.run(1s);
        group.diskOf(0).setFull(true);
        CPPUNIT_ASSERT(!core::isOk(group.init(0)));
        group.run(2s);
        CPPUNIT_ASSERT(!core::isOk(group.init(0)));
        group.diskOf(0).setFull(false);
        group.run(2s);
        CPPUNIT_ASSERT(core::isOk(group.init(0)));
        group.run(3s);
        CPPUNIT_ASSERT(group.commits("after the init", 2s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replicated_log_test);

} // namespace jackdawweir::agreement
