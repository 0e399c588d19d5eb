// Tests that a backend server gets no more requests a second than it states, from all callers
// together.

#include <chrono>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/gateway_mesh.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_limit_test);
    CPPUNIT_TEST(keepsToTheLimitThatAServerStates);
    CPPUNIT_TEST(keepsToTheLimitWhileItsNodeRestarts);
    CPPUNIT_TEST_SUITE_END();

public:
    // The length of the spans in which the operators count requests.
    static constexpr seconds span{4};

    // Returns the number of requests that the operators' rule allows in a span.
    static double allowed(double requestsPerSecond)
    {
        return 1.5 * requestsPerSecond * span.count() + 5;
    }

    static void assertAllowed(const gateway_mesh &mesh,
                              const stating_server &server,
                              double requestsPerSecond,
                              core::monotonic_time from)
    {
        const std::size_t most = server.mostArrivals(span, from, mesh.clock.monotonicNow());
        CPPUNIT_ASSERT(most > 0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s",
                               static_cast<double>(most) <= allowed(requestsPerSecond));
    }

    // Guards against a limit that the node beside the server passes on and does not keep.
    void keepsToTheLimitThatAServerStates()
    {
        gateway_mesh mesh(3, {"a"});
        mesh.server(0).stated = "Jackdawweir-Server-Limit: 5\r\n";
        const core::monotonic_time begin = mesh.clock.monotonicNow();
        mesh.play(seconds(10), 100);
        assertAllowed(mesh, mesh.server(0), 5, begin + milliseconds(500));
    }

    // Guards against a limit that is lost with the process that kept it: each start would send as
    // many requests as the server has slots before the first answer.
    void keepsToTheLimitWhileItsNodeRestarts()
    {
        gateway_mesh mesh(3, {"a"});
        mesh.server(0).stated = "Jackdawweir-Server-Limit: 2\r\n";
        mesh.server(0).runTime = milliseconds(100);
        const core::monotonic_time begin = mesh.clock.monotonicNow();
        for (int restart = 0; restart < 8; ++restart) {
            mesh.play(milliseconds(1250), 100);
            mesh.restartNode(0);
        }
        mesh.play(seconds(2), 100);
        assertAllowed(mesh, mesh.server(0), 2, begin + milliseconds(500));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_limit_test);

} // namespace jackdawweir::forwarding
