// Tests nodes and relays together under simulated faults.

#include "mesh.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/fault_schedule.h"
#include "support/property.h"

namespace jackdawweir::membership {

using namespace std::chrono_literals;

namespace {

constexpr unsigned dataCentreCount = 2;
constexpr unsigned hostsEach = 5;

constexpr unsigned faultKinds = 7;

void apply(mesh &tested, const test::fault_step &step)
{
    const std::size_t host = step.target % tested.hostCount();
    const unsigned dataCentre = step.target % dataCentreCount;
    switch (step.kind) {
    case 0:
        tested.stopHost(host);
        break;
    case 1:
        tested.startHost(host);
        break;
    case 2:
        tested.withdrawServer(host);
        break;
    case 3:
        tested.startServer(host);
        break;
    case 4:
        tested.partitionDataCentre(dataCentre, step.target % 3 != 0, step.target % 3 != 1);
        break;
    case 5:
        for (std::size_t each = 0; each < hostsEach; ++each) {
            tested.startHost(std::size_t{dataCentre} * hostsEach + each);
        }
        break;
    default:
        tested.network.healAll();
        break;
    }
    tested.advance(std::chrono::milliseconds(step.pauseMs));
}

} // namespace

class mesh_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(mesh_test);
    CPPUNIT_TEST(directoriesRemoveLeavingServersInTimeAndConvergeUnderFaults);
    CPPUNIT_TEST(stoppedServerIsRemovedInTime);
    CPPUNIT_TEST(serverOfCrashedHostIsRemovedInTimeDespitePartition);
    CPPUNIT_TEST(unreachableDataCentreIsExcludedAndReturns);
    CPPUNIT_TEST(changesReachOnlyDependentNodes);
    CPPUNIT_TEST(restartOfAllRelaysLosesNoServer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a server that receives requests after it withdrew, restarted or crashed with
    // its host (P8) when messages are lost, repeated, delayed or cut off by a partition, and
    // against directories that never converge.
    void directoriesRemoveLeavingServersInTimeAndConvergeUnderFaults()
    {
        test::checkProperty("leaving servers are removed within 3 s", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const std::vector<test::fault_step> schedule = *test::genSchedule(faultKinds);
            mesh tested(dataCentreCount, hostsEach, seed);
            tested.network.setFaults({20, 20, 60ms});
            tested.advance(3s);
            for (const test::fault_step &step : schedule) {
                apply(tested, step);
            }
            tested.network.setFaults({});
            tested.network.healAll();
            tested.restartStoppedHosts();
            tested.advance(8s);
            if (!tested.violations.empty()) {
                RC_FAIL(tested.violations.front());
            }
            RC_ASSERT(tested.hasConverged());
        });
    }

    // Guards against a server that stays listed after it crashed without a notification while its
    // host runs on, or after its withdrawal was lost.
    void stoppedServerIsRemovedInTime()
    {
        mesh tested(dataCentreCount, hostsEach, 1);
        tested.advance(5s);
        CPPUNIT_ASSERT(tested.hasConverged());
        for (std::size_t server = 0; server < tested.hostCount(); ++server) {
            tested.stopServer(server);
            tested.advance(4s);
        }
        CPPUNIT_ASSERT(tested.violations.empty());
    }

    // Guards against a server that stays listed when its host crashes and its data centre is
    // partitioned just before the relays report to others that the host's lease expired.
    void serverOfCrashedHostIsRemovedInTimeDespitePartition()
    {
        for (const auto delay : {0ms, 400ms, 800ms, 1200ms, 1500ms}) {
            mesh tested(dataCentreCount, hostsEach, 2);
            tested.advance(5s);
            tested.stopHost(hostsEach - 1);
            tested.advance(delay);
            tested.partitionDataCentre(0, true, true);
            tested.advance(5s);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(delay.count()), tested.violations.empty());
        }
    }

    // Guards against requests to an unreachable data centre.
    void unreachableDataCentreIsExcludedAndReturns()
    {
        mesh tested(dataCentreCount, hostsEach, 3);
        tested.advance(5s);
        const std::size_t remote = hostsEach + 1;
        CPPUNIT_ASSERT(tested.lists(0, remote));
        tested.partitionDataCentre(0, true, true);
        tested.advance(dataCentreTimeout + tickInterval);
        CPPUNIT_ASSERT(!tested.lists(0, remote));
        CPPUNIT_ASSERT(tested.lists(0, 2));
        tested.network.healAll();
        tested.advance(3s);
        CPPUNIT_ASSERT(tested.hasConverged());
    }

    // Guards against control traffic that grows with the number of all services instead of those
    // that a node depends on.
    void changesReachOnlyDependentNodes()
    {
        mesh tested(dataCentreCount, hostsEach, 4);
        tested.advance(5s);
        tested.pushed.clear();
        tested.startServer(3);
        tested.advance(3s);
        CPPUNIT_ASSERT(!tested.pushed[core::endpoint{"host-8"}].empty()
                       || !tested.pushed[core::endpoint{"host-9"}].empty());
        for (const backend_server &server : tested.pushed[core::endpoint{"host-8"}]) {
            CPPUNIT_ASSERT(server.service == mesh::serviceOf(8));
        }
        CPPUNIT_ASSERT(tested.lists(9, 3));
    }

    // Guards against an empty directory while restarted relays have not yet received updates from
    // their nodes.
    void restartOfAllRelaysLosesNoServer()
    {
        mesh tested(dataCentreCount, hostsEach, 5);
        // The other data centre polls between the heartbeats of this one.
        tested.advance(250ms);
        for (std::size_t other = hostsEach; other < tested.hostCount(); ++other) {
            tested.startHost(other);
        }
        tested.advance(5s);
        tested.advance(350ms);
        for (std::size_t relay = 0; relay < mesh::relaysEach; ++relay) {
            tested.startHost(relay);
        }
        for (unsigned step = 0; step < 80; ++step) {
            tested.advance(50ms);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(step), tested.lists(4, 4));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(step), tested.lists(8, 4));
        }
        CPPUNIT_ASSERT(tested.hasConverged());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(mesh_test);

} // namespace jackdawweir::membership
