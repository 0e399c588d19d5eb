// Tests that an evacuated data centre gets no requests: what callers' nodes choose, and what the
// nodes beside its servers refuse when a sender has an older view.

#include <chrono>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/gateway_mesh.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

class evacuation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(sendsNothingToAnEvacuatedDataCentre);
    CPPUNIT_TEST(refusesRequestsOfASenderWithAnOlderView);
    CPPUNIT_TEST(refusesWaitingRequestsAndFinishesRunningOnes);
    CPPUNIT_TEST(servesAgainAfterTheEvacuation);
    CPPUNIT_TEST(choosesAnotherDataCentreAtTheNextAttempt);
    CPPUNIT_TEST(avoidsTheWholeDataCentreAfterOneRefusal);
    CPPUNIT_TEST(servesAnyVersionWhereTheEstablishedOneIsEvacuated);
    CPPUNIT_TEST(refusesCallersWhereNoOtherDataCentreHasAServer);
    CPPUNIT_TEST_SUITE_END();

public:
    static policy::policy_view viewWithout(std::uint64_t revision, const std::string &dataCentre)
    {
        policy::policy_view made = dispatcher_fixture::view();
        made.revision = revision;
        made.evacuated.insert(core::data_centre_name{dataCentre});
        return made;
    }

    static std::size_t arrivalsSince(gateway_mesh &mesh, std::size_t server, std::size_t before)
    {
        return mesh.server(server).arrivals.size() - before;
    }

    // The callers are in the evacuated data centre and are served from the other one.
    void sendsNothingToAnEvacuatedDataCentre()
    {
        gateway_mesh mesh(2, {"a", "b"});
        mesh.setView(viewWithout(6, "a"));
        mesh.play(seconds(1), 100);
        CPPUNIT_ASSERT(mesh.server(0).arrivals.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mesh.answers.refused);
        CPPUNIT_ASSERT(mesh.answers.served > 90);
    }

    // Guards against requests from a node that has not heard of the evacuation.
    void refusesRequestsOfASenderWithAnOlderView()
    {
        gateway_mesh mesh(2, {"a", "b"});
        mesh.play(seconds(1), 100);
        const std::size_t before = mesh.server(0).arrivals.size();
        CPPUNIT_ASSERT(before > 0);
        mesh.setGatewayView(viewWithout(6, "a"));
        mesh.play(seconds(1), 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, arrivalsSince(mesh, 0, before));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mesh.answers.refused);
        CPPUNIT_ASSERT_EQUAL(mesh.answers.begun, mesh.answers.served + 2);
    }

    // Guards against a request that waits at the server and starts after the evacuation began.
    void refusesWaitingRequestsAndFinishesRunningOnes()
    {
        gateway_mesh mesh(2, {"a"});
        mesh.server(0).runTime = milliseconds(200);
        mesh.play(milliseconds(100), 100);
        const std::size_t running = mesh.server(0).running();
        const std::size_t before = mesh.server(0).arrivals.size();
        CPPUNIT_ASSERT(running > 0 && mesh.gateway(0).waitingRequests() > 0);
        mesh.setView(viewWithout(6, "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mesh.gateway(0).waitingRequests());
        mesh.play(milliseconds(500), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, arrivalsSince(mesh, 0, before));
        CPPUNIT_ASSERT_EQUAL(running, mesh.answers.served);
    }

    void servesAgainAfterTheEvacuation()
    {
        gateway_mesh mesh(2, {"a"});
        mesh.setView(viewWithout(6, "a"));
        mesh.play(seconds(1), 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mesh.answers.served);
        policy::policy_view returned = dispatcher_fixture::view();
        returned.revision = 7;
        returned.evacuationEnds[core::data_centre_name{"a"}] = 7;
        mesh.setView(returned);
        mesh.play(seconds(1), 20);
        CPPUNIT_ASSERT(mesh.answers.served > 15);
    }

    void choosesAnotherDataCentreAtTheNextAttempt()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/lookup/1");
        fixture.subject.setView(viewWithout(6, "a"));
        fixture.answerLast(dispatcher_fixture::notRun(forward_reason::Full));
        CPPUNIT_ASSERT_EQUAL(std::string("server-host-c"), fixture.lastForward().instance.value);
    }

    // Guards against a node with an older view that asks one server of the data centre after the
    // other.
    void avoidsTheWholeDataCentreAfterOneRefusal()
    {
        dispatcher_fixture fixture;
        fixture.serve();
        fixture.begin("/lookup/1");
        fixture.answerLast(dispatcher_fixture::notRun(forward_reason::Evacuated));
        CPPUNIT_ASSERT_EQUAL(std::string("server-host-c"), fixture.lastForward().instance.value);
        fixture.answerLast(dispatcher_fixture::answered(200));
        CPPUNIT_ASSERT_EQUAL(1U, fixture.answers.back().attempts);
        fixture.begin("/lookup/2");
        CPPUNIT_ASSERT_EQUAL(std::string("server-host-c"), fixture.lastForward().instance.value);
    }

    // Guards against callers that are refused although servers of another version run.
    void servesAnyVersionWhereTheEstablishedOneIsEvacuated()
    {
        dispatcher_fixture fixture;
        policy::policy_view view = viewWithout(6, "a");
        view.versions[core::service_name{"stock"}] = core::version_name{"v1"};
        fixture.subject.setView(view);
        fixture.subject.setHosts({dispatcher_fixture::hostWith("host-a", "a", "v1"),
                                  dispatcher_fixture::hostWith("host-c", "b", "v2")},
                                 fixture.now);
        fixture.begin("/lookup/1");
        CPPUNIT_ASSERT_EQUAL(std::string("server-host-c"), fixture.lastForward().instance.value);
    }

    void refusesCallersWhereNoOtherDataCentreHasAServer()
    {
        dispatcher_fixture fixture;
        fixture.subject.setView(viewWithout(6, "a"));
        fixture.subject.setHosts({dispatcher_fixture::hostWith("host-a", "a")}, fixture.now);
        fixture.begin("/lookup/1");
        CPPUNIT_ASSERT(fixture.forwards().empty());
        CPPUNIT_ASSERT(fixture.answers.back().outcome == caller_outcome::NotRun);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

} // namespace jackdawweir::forwarding
