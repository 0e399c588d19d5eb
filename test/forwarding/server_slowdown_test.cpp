// Tests that requests avoid a server for as long as it states that work takes long there.

#include <chrono>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/gateway_mesh.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_slowdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_slowdown_test);
    CPPUNIT_TEST(sendsFewerRequestsToAServerThatStatesToBeSlow);
    CPPUNIT_TEST(returnsOnceTheServerIsFastAgain);
    CPPUNIT_TEST(servesAllWhileEveryServerIsSlow);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr double requestsPerSecond = 60;

    static void slowDown(stating_server &server, const char *stated)
    {
        server.stated = stated;
        server.runTime = milliseconds(200);
    }

    static void speedUp(stating_server &server)
    {
        server.stated = "Jackdawweir-Server-Load: 1,0,8,100\r\n";
        server.runTime = milliseconds(50);
    }

    static void startEvenly(gateway_mesh &mesh)
    {
        speedUp(mesh.server(0));
        speedUp(mesh.server(1));
        mesh.play(seconds(3), requestsPerSecond);
    }

    // Returns the requests that the first of two servers gets in a second in which it is slow and
    // its responses carry the header lines.
    static std::size_t arrivalsWhileSlow(const char *stated)
    {
        gateway_mesh mesh(3, {"a", "a"});
        startEvenly(mesh);
        const std::size_t before = mesh.server(0).arrivals.size();
        slowDown(mesh.server(0), stated);
        mesh.play(seconds(1), requestsPerSecond);
        return mesh.server(0).arrivals.size() - before;
    }

    // Guards against a figure that is not read: without it a server is avoided only once its mean
    // run time has risen.
    void sendsFewerRequestsToAServerThatStatesToBeSlow()
    {
        const std::size_t withFigure = arrivalsWhileSlow("Jackdawweir-Server-Load: 1,0,8,400\r\n");
        CPPUNIT_ASSERT(2 * withFigure < arrivalsWhileSlow(""));
    }

    // Guards against a server that is avoided for good, since no answer states that it is fast.
    void returnsOnceTheServerIsFastAgain()
    {
        gateway_mesh mesh(3, {"a", "a"});
        startEvenly(mesh);
        slowDown(mesh.server(0), "Jackdawweir-Server-Load: 1,0,8,400\r\n");
        mesh.play(seconds(1), requestsPerSecond);
        speedUp(mesh.server(0));
        mesh.play(seconds(4), requestsPerSecond);
        const std::size_t before = mesh.server(0).arrivals.size();
        mesh.play(seconds(2), requestsPerSecond);
        const std::size_t arrived = mesh.server(0).arrivals.size() - before;
        CPPUNIT_ASSERT(static_cast<double>(arrived) > 0.2 * 2 * requestsPerSecond);
    }

    // Guards against requests that are refused for slowness alone.
    void servesAllWhileEveryServerIsSlow()
    {
        gateway_mesh mesh(3, {"a", "a"});
        startEvenly(mesh);
        slowDown(mesh.server(0), "Jackdawweir-Server-Load: 1,0,8,400\r\n");
        slowDown(mesh.server(1), "Jackdawweir-Server-Load: 1,0,8,400\r\n");
        mesh.play(seconds(2), requestsPerSecond / 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), mesh.answers.refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_slowdown_test);

} // namespace jackdawweir::forwarding
