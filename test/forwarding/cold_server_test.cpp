// Tests that a cold backend server gets no more requests a second than the policy allows, from all
// callers together, and that the callers are served elsewhere meanwhile.

#include <chrono>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/gateway_mesh.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

class cold_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_server_test);
    CPPUNIT_TEST(keepsToTheRateOfAColdServer);
    CPPUNIT_TEST(servesAtTheFullRateOnceTheServerIsWarm);
    CPPUNIT_TEST(keepsToTheLowerOfTwoLimits);
    CPPUNIT_TEST(treatsAReturningServerAsColdUntilItSaysOtherwise);
    CPPUNIT_TEST(learnsByAHealthCheckThatAReturningServerIsWarm);
    CPPUNIT_TEST(learnsOfAnEvacuationThatItMissed);
    CPPUNIT_TEST(servesCallersElsewhereWhileServersAreCold);
    CPPUNIT_TEST(refusesForAColdServerUntilTheRateIsKnown);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr double coldRate = 10;

    static policy::policy_view view(std::uint64_t revision, std::uint64_t evacuationEnd = 0)
    {
        policy::policy_view made = dispatcher_fixture::view();
        made.revision = revision;
        policy::service stock;
        stock.name.value = "stock";
        stock.healthPath = "/health";
        stock.coldRequestsPerSecond = coldRate;
        made.policy.services = {stock};
        if (evacuationEnd > 0) {
            made.evacuationEnds[core::data_centre_name{"a"}] = evacuationEnd;
        }
        return made;
    }

    static fleet::instance_name instanceOf(std::size_t index)
    {
        return fleet::instance_name{"server-host-" + std::to_string(index)};
    }

    static void announceCold(gateway_mesh &mesh, std::size_t index, milliseconds coldFor)
    {
        mesh.gateway(index).recordAnnouncement(
            instanceOf(index), coldFor, mesh.clock.monotonicNow());
    }

    // Returns the most requests that the server got in any second since `from`.
    static std::size_t
    mostInASecond(gateway_mesh &mesh, std::size_t index, core::monotonic_time from)
    {
        return mesh.server(index).mostArrivals(seconds(1), from, mesh.clock.monotonicNow());
    }

    static milliseconds coldFor(gateway_mesh &mesh)
    {
        return mesh.gateway(0).coldFor(instanceOf(0), mesh.clock.monotonicNow());
    }

    // Plays a light load until the condition holds, for at most two seconds.
    template<typename Condition>
    static void playUntil(gateway_mesh &mesh, const Condition &condition)
    {
        for (int step = 0; step < 40 && !condition(); ++step) {
            mesh.play(milliseconds(50), 20);
        }
        CPPUNIT_ASSERT(condition());
    }

    // The rate, a tenth of a second of it at once, and the request at the edge of the second.
    static constexpr std::size_t allowed = 12;

    // The load: 100 requests a second for a server that takes 10 while it is cold.
    void keepsToTheRateOfAColdServer()
    {
        gateway_mesh mesh(5, {"a"});
        mesh.setView(view(6));
        announceCold(mesh, 0, seconds(10));
        const core::monotonic_time begin = mesh.clock.monotonicNow();
        mesh.play(seconds(5), 100);
        const std::size_t most = mostInASecond(mesh, 0, begin);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= allowed);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(mesh.answers.served), mesh.answers.served >= 45);
    }

    void servesAtTheFullRateOnceTheServerIsWarm()
    {
        gateway_mesh mesh(5, {"a"});
        mesh.setView(view(6));
        announceCold(mesh, 0, seconds(1));
        mesh.play(seconds(2), 100);
        const std::size_t before = mesh.answers.served;
        mesh.play(seconds(1), 100);
        CPPUNIT_ASSERT(mesh.answers.served - before >= 90);
    }

    void keepsToTheLowerOfTwoLimits()
    {
        gateway_mesh mesh(5, {"a"});
        mesh.setView(view(6));
        mesh.server(0).stated = "Jackdawweir-Server-Limit: 4\r\n";
        mesh.play(seconds(1), 100);
        announceCold(mesh, 0, seconds(10));
        const core::monotonic_time begin = mesh.clock.monotonicNow();
        mesh.play(seconds(3), 100);
        CPPUNIT_ASSERT(mostInASecond(mesh, 0, begin) <= 6);
        mesh.server(0).stated = "Jackdawweir-Server-Limit: 40\r\n";
        mesh.play(seconds(1), 100);
        const core::monotonic_time changed = mesh.clock.monotonicNow();
        mesh.play(seconds(3), 100);
        CPPUNIT_ASSERT(mostInASecond(mesh, 0, changed) <= allowed);
    }

    // Guards against a server that became cold during the evacuation, between two announcements.
    // It answers no health check.
    void treatsAReturningServerAsColdUntilItSaysOtherwise()
    {
        gateway_mesh mesh(5, {"a"});
        mesh.setView(view(6));
        mesh.setView(view(7, 7));
        const core::monotonic_time begin = mesh.clock.monotonicNow();
        mesh.play(seconds(2), 100);
        CPPUNIT_ASSERT(mostInASecond(mesh, 0, begin) <= allowed + 4);
        CPPUNIT_ASSERT(mesh.gateway(0).coldFor(instanceOf(0), mesh.clock.monotonicNow())
                       > milliseconds(0));
        announceCold(mesh, 0, milliseconds(0));
        const std::size_t before = mesh.answers.served;
        mesh.play(seconds(1), 100);
        CPPUNIT_ASSERT(mesh.answers.served - before >= 70);
    }

    // Guards against a warm data centre that returns at the rate of a cold one for the time until
    // the next announcements.
    void learnsByAHealthCheckThatAReturningServerIsWarm()
    {
        gateway_mesh mesh(5, {"a"});
        mesh.setView(view(6));
        const std::string named = "Jackdawweir-Instance: server-host-0\r\n";
        std::uint64_t revision = 7;
        for (const std::string &warm : {named, named + "Jackdawweir-Cold-Ms: 0\r\n"}) {
            mesh.server(0).stated = warm;
            mesh.setView(view(revision, revision));
            ++revision;
            CPPUNIT_ASSERT(coldFor(mesh) > milliseconds(0));
            playUntil(mesh, [&] { return coldFor(mesh) == milliseconds(0); });
        }
        mesh.server(0).stated = named + "Jackdawweir-Cold-Ms: 9000.5\r\n";
        mesh.setView(view(revision, revision));
        playUntil(mesh, [&] { return coldFor(mesh) > seconds(5); });
        CPPUNIT_ASSERT(coldFor(mesh) <= milliseconds(9001));
    }

    // Guards against a node that was out of contact from before an evacuation until after it.
    void learnsOfAnEvacuationThatItMissed()
    {
        gateway_mesh mesh(1, {"a", "b"});
        mesh.setView(view(6, 3));
        announceCold(mesh, 0, milliseconds(0));
        mesh.setView(view(9, 8));
        const core::monotonic_time now = mesh.clock.monotonicNow();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, mesh.gateway(0).coldServers(now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mesh.gateway(1).coldServers(now));
    }

    // The load: 200 requests a second at two servers of the own data centre that return cold, and
    // two warm ones elsewhere.
    void servesCallersElsewhereWhileServersAreCold()
    {
        gateway_mesh mesh(5, {"a", "a", "b", "b"});
        mesh.setView(view(6));
        mesh.play(seconds(1), 200);
        announceCold(mesh, 0, seconds(10));
        announceCold(mesh, 1, seconds(10));
        const gateway_mesh::counted_answers before = mesh.answers;
        const core::monotonic_time begin = mesh.clock.monotonicNow();
        mesh.play(seconds(3), 200);
        CPPUNIT_ASSERT(mostInASecond(mesh, 0, begin) <= allowed);
        CPPUNIT_ASSERT(mostInASecond(mesh, 1, begin) <= allowed);
        CPPUNIT_ASSERT_EQUAL(before.refused, mesh.answers.refused);
        CPPUNIT_ASSERT(mesh.answers.served - before.served >= 590);
        CPPUNIT_ASSERT(mesh.server(0).arrivals.back() >= begin);
    }

    // Guards against a restarted node beside a cold server that has no policy yet.
    void refusesForAColdServerUntilTheRateIsKnown()
    {
        gateway_mesh mesh(2, {"a"});
        mesh.setView(view(6), true);
        announceCold(mesh, 0, seconds(10));
        mesh.play(seconds(1), 50);
        CPPUNIT_ASSERT(mesh.server(0).arrivals.empty());
        mesh.setGatewayView(view(6));
        mesh.play(seconds(1), 50);
        CPPUNIT_ASSERT(!mesh.server(0).arrivals.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_server_test);

} // namespace jackdawweir::forwarding
