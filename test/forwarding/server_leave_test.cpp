// Tests that a backend server that states in its responses that it is leaving gets no new requests.

#include <chrono>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/gateway_mesh.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_leave_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_leave_test);
    CPPUNIT_TEST(sendsNothingToAServerThatStatesItsLeave);
    CPPUNIT_TEST(sendsNothingToALeavingServerAfterItsNodeRestarted);
    CPPUNIT_TEST(sendsRequestsToTheNextStartOfALeavingServer);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr const char *leaving = "Jackdawweir-Server-Leaving: 1\r\n";
    // As long as a gateway accepts requests for a leaving server.
    static constexpr milliseconds acceptTime{800};

    static void assertNothingArrives(gateway_mesh &mesh, std::size_t index)
    {
        const std::size_t before = mesh.server(index).arrivals.size();
        mesh.play(seconds(3), 100);
        CPPUNIT_ASSERT_EQUAL(before, mesh.server(index).arrivals.size());
    }

    // Guards against requests to a server that states its leave in its responses only.
    void sendsNothingToAServerThatStatesItsLeave()
    {
        gateway_mesh mesh(3, {"a", "a"});
        mesh.play(seconds(1), 100);
        mesh.server(0).stated = leaving;
        mesh.play(acceptTime + milliseconds(200), 100);
        assertNothingArrives(mesh, 0);
        // The last requests are answered.
        mesh.play(milliseconds(100), 0);
        CPPUNIT_ASSERT_EQUAL(mesh.answers.begun, mesh.answers.served);
    }

    // Guards against a leave that is lost with the process that was told of it. Only the callers'
    // nodes know it then, since the server announces itself as ready.
    void sendsNothingToALeavingServerAfterItsNodeRestarted()
    {
        gateway_mesh mesh(3, {"a", "a"});
        mesh.server(0).stated = leaving;
        mesh.play(seconds(2), 100);
        mesh.restartNode(0);
        mesh.updateHosts();
        assertNothingArrives(mesh, 0);
    }

    // Guards against a leave that binds a later start under the same name.
    void sendsRequestsToTheNextStartOfALeavingServer()
    {
        gateway_mesh mesh(3, {"a", "a"});
        mesh.server(0).stated = leaving;
        mesh.play(seconds(2), 100);
        mesh.server(0).stated.clear();
        mesh.restartServer(0);
        const std::size_t before = mesh.server(0).arrivals.size();
        mesh.play(seconds(2), 100);
        CPPUNIT_ASSERT(mesh.server(0).arrivals.size() > before + 50);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_leave_test);

} // namespace jackdawweir::forwarding
