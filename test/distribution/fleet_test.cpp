// Tests sources, relays and nodes together under simulated faults.

#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/fault_schedule.h"
#include "support/property.h"

namespace jackdawweir::distribution {

using namespace std::chrono_literals;

namespace {

constexpr unsigned dataCentreCount = 2;
constexpr unsigned hostsEach = 5;
constexpr unsigned maxServices = 6;

constexpr unsigned faultKinds = 10;

void apply(fleet &tested, const test::fault_step &step)
{
    const unsigned dataCentre = step.target % dataCentreCount;
    switch (step.kind) {
    case 0:
    case 1:
    case 2:
        tested.commit(1 + step.target % maxServices);
        break;
    case 3:
    case 4:
    case 5:
        tested.restart(step.target % tested.hostCount());
        break;
    case 6:
        tested.restartDataCentre(dataCentre);
        break;
    case 7:
        tested.cutFromSources(dataCentre, step.target % 3 != 0, step.target % 3 != 1);
        break;
    case 8:
        tested.isolate(
            step.target % tested.hostCount(), step.target % 3 != 0, step.target % 3 != 1);
        break;
    default:
        tested.network.healAll();
        tested.leaderHoldsLease = !tested.leaderHoldsLease;
        break;
    }
    tested.advance(std::chrono::milliseconds(step.pauseMs));
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "; ";
    }
    return text;
}

} // namespace

class fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(keepsGuaranteesUnderFaultsAndConverges);
    CPPUNIT_TEST(refusesAfterRestartOfPartitionedDataCentre);
    CPPUNIT_TEST(keepsServingWhilePartitioned);
    CPPUNIT_TEST(convergesThroughSourceWhenRelaysLoseTheirSubscribers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a node that activates an older version than before (P1), a route without its
    // service (P2), a partially applied version (P3), and a node that never converges (P10).
    void keepsGuaranteesUnderFaultsAndConverges()
    {
        test::checkProperty("guarantees hold under faults", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const std::vector<test::fault_step> schedule = *test::genSchedule(faultKinds);
            fleet tested(dataCentreCount, hostsEach, seed);
            tested.network.setFaults({20, 20, 120ms});
            tested.commit(2);
            tested.advance(1500ms);
            for (const test::fault_step &step : schedule) {
                apply(tested, step);
            }
            tested.network.setFaults({});
            tested.network.healAll();
            tested.leaderHoldsLease = true;
            tested.advance(16s);
            if (!tested.violations.empty()) {
                RC_FAIL(joined(tested.violations));
            }
            RC_ASSERT(tested.hasConverged());
        });
    }

    // Guards against an older version after a restart when no process with memory is reachable: the
    // whole data centre restarts while it is partitioned from the sources.
    void refusesAfterRestartOfPartitionedDataCentre()
    {
        fleet tested(dataCentreCount, hostsEach, 1);
        tested.commit(3);
        tested.advance(5s);
        CPPUNIT_ASSERT(tested.hasConverged());
        tested.cutFromSources(0, true, true);
        tested.restartDataCentre(0);
        tested.advance(10s);
        for (std::size_t host = 0; host < hostsEach; ++host) {
            CPPUNIT_ASSERT(!tested.isActive(host));
            CPPUNIT_ASSERT(tested.refusalOf(host) == refusal_reason::NoVersionFloor);
        }
        tested.network.healAll();
        tested.advance(16s);
        CPPUNIT_ASSERT(tested.hasConverged());
    }

    // Guards against a node that stops serving because the sources are unreachable, also after its
    // own restart while the witnesses of its data centre keep their memory.
    void keepsServingWhilePartitioned()
    {
        fleet tested(dataCentreCount, hostsEach, 2);
        tested.commit(3);
        tested.advance(5s);
        tested.cutFromSources(0, true, true);
        std::size_t node = 0;
        while (tested.isRelay(node)) {
            ++node;
        }
        tested.restart(node);
        tested.advance(5s);
        for (std::size_t host = 0; host < hostsEach; ++host) {
            CPPUNIT_ASSERT(tested.activeOf(host) == tested.committed());
        }
    }

    // Guards against nodes that stay on an old version when relays restart and lose their
    // subscribers while versions are pushed.
    void convergesThroughSourceWhenRelaysLoseTheirSubscribers()
    {
        fleet tested(dataCentreCount, hostsEach, 3);
        tested.commit(2);
        tested.advance(5s);
        for (unsigned round = 0; round < 3; ++round) {
            for (std::size_t host = 0; host < tested.hostCount(); ++host) {
                if (tested.isRelay(host)) {
                    tested.restart(host);
                }
            }
            tested.commit(3 + round);
            tested.advance(5s);
            CPPUNIT_ASSERT(tested.hasConverged());
        }
        CPPUNIT_ASSERT(tested.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

} // namespace jackdawweir::distribution
