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

} // namespace

class replication_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replication_test);
    CPPUNIT_TEST(keepsAgreementUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two leaders of one term, two leases at the same time, logs or states that
    // differ, the loss of a committed entry, a confirmed read that misses a commit, and a group
    // that stays blocked after the faults end. The invariants are checked in support/cluster.h.
    void keepsAgreementUnderRandomFaults()
    {
        test::checkUnderFaults<command_list>("agreement holds under random faults", runSchedule);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replication_test);

} // namespace jackdawweir::agreement
