#include <optional>
#include <vector>

#include "support/cluster_faults.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::agreement {

namespace {

using namespace std::chrono_literals;

// A state machine that keeps every command in order.
class command_list
{
public:
    void apply(const entry &committed)
    {
        if (committed.kind == entry_kind::Command) {
            m_commands.push_back(committed.payload);
        }
    }

    std::string encode() const
    {
        return wire::encodeValue(m_commands);
    }

    void restore(const std::string &bytes)
    {
        m_commands = core::valueIn(wire::decodeValue<std::vector<std::string>>(bytes));
    }

private:
    std::vector<std::string> m_commands;
};

using command_cluster = test::cluster<command_list>;

void runSchedule(command_cluster &group, const std::vector<test::scheduled_fault> &schedule)
{
    std::uint64_t number = 0;
    test::schedule_runner runner(
        group, [&number](std::size_t, unsigned) { return std::to_string(++number); });
    runner.run(schedule);
    group.settle();
    const std::uint64_t last = group.propose(group.leader().value(), "last");
    group.run(1s);
    command_cluster::require(group.wasCommitted(last), "a healthy group accepts a command");
    group.settle();
}

// Returns whether a command is committed within the time.
bool isAcceptedWithin(command_cluster &group, std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds callInterval{100};
    std::uint64_t last = 0;
    for (std::chrono::milliseconds passed{0}; passed < limit; passed += callInterval) {
        if (group.wasCommitted(last)) {
            return true;
        }
        if (const std::optional<std::size_t> leading = group.leader()) {
            last = group.propose(*leading, "last");
        }
        group.run(callInterval);
    }
    return group.wasCommitted(last);
}

// Ends all faults, except that the process of some hosts, fewer than half, never runs again.
void endFaultsWithout(command_cluster &group, std::size_t firstGone)
{
    const std::size_t goneCount = (group.size() - 1) / 2;
    group.healNetwork();
    for (std::size_t offset = 0; offset < group.size(); ++offset) {
        const std::size_t index = (firstGone + offset) % group.size();
        group.at(index).writeDelay = 0ms;
        group.at(index).disk.clearFaults();
        const bool isStopped
            = group.isUp(index) && group.at(index).machine->role() == replica_role::Stopped;
        if (offset < goneCount || isStopped) {
            group.crash(index);
        }
        if (offset >= goneCount && !group.isUp(index)) {
            group.start(index);
        }
    }
}

// Runs a schedule without lost or damaged disks, after which fewer than half of the hosts are gone
// for good.
void runScheduleAndLoseAMinority(command_cluster &group,
                                 std::vector<test::scheduled_fault> schedule)
{
    std::erase_if(schedule, [](const test::scheduled_fault &each) {
        return each.kind == test::fault::LoseDisk || each.kind == test::fault::RollBackDisk;
    });
    std::uint64_t number = 0;
    test::schedule_runner runner(
        group, [&number](std::size_t, unsigned) { return std::to_string(++number); });
    runner.run(schedule);
    const std::size_t drawn = schedule.empty() ? 0 : schedule.back().first;
    endFaultsWithout(group, drawn % group.size());
    // The core counts as stable 3 s after the last fault, and a change may then take 4 s.
    command_cluster::require(isAcceptedWithin(group, 7s),
                             "more than half of the hosts accept a command: " + group.describe());
}

} // namespace

class replication_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replication_test);
    CPPUNIT_TEST(keepsAgreementUnderRandomFaults);
    CPPUNIT_TEST(acceptsCommandsAfterRandomFaultsWhileAMinorityIsGone);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two leaders of one term, two leases at the same time, logs or states that
    // differ, the loss of a committed entry, a confirmed read that misses a commit, and a group
    // that stays blocked after the faults end. The invariants are checked in support/cluster.h.
    void keepsAgreementUnderRandomFaults()
    {
        test::checkUnderFaults<command_list>("agreement holds under random faults", runSchedule);
    }

    // Guards against a group of which more than half runs, connected, and which accepts no command
    // for good, whatever happened before the others were gone.
    void acceptsCommandsAfterRandomFaultsWhileAMinorityIsGone()
    {
        test::checkUnderFaults<command_list>("a majority accepts commands",
                                             runScheduleAndLoseAMinority);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replication_test);

} // namespace jackdawweir::agreement
