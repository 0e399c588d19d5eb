// Simulations of many callers at several servers of one service, some or all of which state limits.

#include <chrono>
#include <random>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/gateway_mesh.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_limit_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_limit_load_test);
    CPPUNIT_TEST(keepsToVaryingLimitsAndServesWhereThereIsRoom);
    CPPUNIT_TEST(findsTheOnlyServerWithRoom);
    CPPUNIT_TEST(usesTheLimitsOfAllServersUnderOverload);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr seconds span{4};
    // The answers that were on their way when a limit changed have arrived after this time.
    static constexpr milliseconds reactionTime{200};

    static void stateLimit(stating_server &server, double requestsPerSecond)
    {
        server.stated = requestsPerSecond > 0
            ? "Jackdawweir-Server-Limit: " + std::to_string(requestsPerSecond) + "\r\n"
            : "";
    }

    // The limit itself, a burst of 100 ms and one request: less than the operators' rule allows.
    static void assertLimitIsKept(const stating_server &server,
                                  double requestsPerSecond,
                                  core::monotonic_time from,
                                  core::monotonic_time to)
    {
        const std::size_t most = server.mostArrivals(span, from + reactionTime, to);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s for "
                                   + std::to_string(requestsPerSecond) + " a second",
                               static_cast<double>(most) <= requestsPerSecond * 4.1 + 1.001);
    }

    // Guards against a bound that holds for a constant limit only, and against callers that are
    // refused at limited servers while others have room.
    void keepsToVaryingLimitsAndServesWhereThereIsRoom()
    {
        for (unsigned seed = 1; seed <= 4; ++seed) {
            std::mt19937 engine(seed);
            std::uniform_real_distribution<double> draw(2, 40);
            gateway_mesh mesh(8, {"a", "a", "a", "b", "b"});
            const double low = 3;
            stateLimit(mesh.server(0), low);
            const core::monotonic_time begin = mesh.clock.monotonicNow();
            for (int part = 0; part < 5; ++part) {
                const double varying = part == 2 ? 0 : draw(engine);
                stateLimit(mesh.server(1), varying);
                const core::monotonic_time changed = mesh.clock.monotonicNow();
                mesh.play(seconds(5), 250);
                if (varying > 0) {
                    assertLimitIsKept(mesh.server(1), varying, changed, mesh.clock.monotonicNow());
                }
            }
            assertLimitIsKept(mesh.server(0), low, begin, mesh.clock.monotonicNow());
            CPPUNIT_ASSERT_MESSAGE(std::to_string(mesh.answers.served) + " of "
                                       + std::to_string(mesh.answers.begun) + " served",
                                   mesh.answers.served >= mesh.answers.begun * 99 / 100);
        }
    }

    // Guards against a request that the limited servers refuse one after the other until its caller
    // is refused.
    void findsTheOnlyServerWithRoom()
    {
        gateway_mesh mesh(16, {"a", "a", "a", "b", "b"});
        for (const std::size_t limited : {0, 1, 2, 3}) {
            stateLimit(mesh.server(limited), 2);
        }
        mesh.play(seconds(10), 250);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(mesh.answers.served) + " of "
                                   + std::to_string(mesh.answers.begun) + " served",
                               mesh.answers.served >= mesh.answers.begun * 99 / 100);
    }

    // Guards against limits that are not used in full, and against refusals without a delay.
    void usesTheLimitsOfAllServersUnderOverload()
    {
        gateway_mesh mesh(8, {"a", "a", "b"});
        const double limit = 10;
        for (std::size_t index = 0; index < 3; ++index) {
            stateLimit(mesh.server(index), limit);
        }
        mesh.play(seconds(1), 60);
        const core::monotonic_time begin = mesh.clock.monotonicNow();
        const std::size_t servedBefore = mesh.answers.served;
        mesh.play(seconds(12), 60);
        for (std::size_t index = 0; index < 3; ++index) {
            assertLimitIsKept(mesh.server(index), limit, begin, mesh.clock.monotonicNow());
        }
        const std::size_t served = mesh.answers.served - servedBefore;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " served",
                               static_cast<double>(served) >= 0.9 * 3 * limit * 12);
        CPPUNIT_ASSERT(mesh.answers.refused > 0);
        CPPUNIT_ASSERT(mesh.answers.shortestRetryAfter >= milliseconds(50));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_limit_load_test);

} // namespace jackdawweir::forwarding
