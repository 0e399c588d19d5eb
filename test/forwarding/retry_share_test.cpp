#include "jackdawweir/forwarding/retry_share.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

class retry_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_share_test);
    CPPUNIT_TEST(keepsAllNodesWithinTheBudget);
    CPPUNIT_TEST(leavesRoomForTheCallsOfRepeatedRequests);
    CPPUNIT_TEST(forgetsWhatIsOlderThanTheWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that each keep to the budget alone and exceed it together.
    void keepsAllNodesWithinTheBudget()
    {
        constexpr std::size_t nodes = 20;
        constexpr int requestsOfEach = 100;
        retry_settings settings;
        settings.allowance = 60;
        core::monotonic_time now{std::chrono::seconds(100)};
        int taken = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            retry_share share(settings);
            for (int request = 0; request < requestsOfEach; ++request) {
                share.recordRequest(now);
                taken += share.tryTake(now, nodes) ? 1 : 0;
            }
        }
        const double budget
            = settings.ratio * static_cast<double>(nodes * requestsOfEach) + settings.allowance;
        CPPUNIT_ASSERT(taken > 0);
        CPPUNIT_ASSERT(taken <= budget);
    }

    // Guards against a budget that is exceeded at a service because requests of another one are
    // repeated and make their calls again, seen on scale-1 of ccw-mesh with seed 177474363776.
    void leavesRoomForTheCallsOfRepeatedRequests()
    {
        constexpr std::size_t nodes = 17;
        constexpr int requestsOfEach = 150;
        constexpr int callsOfEachRequest = 2;
        retry_settings settings;
        settings.allowance = 62;
        const core::monotonic_time now{std::chrono::seconds(100)};
        int repeatedRequests = 0;
        int repeatedCalls = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            retry_share requests(settings);
            retry_share calls(settings);
            for (int request = 0; request < requestsOfEach; ++request) {
                requests.recordRequest(now);
                repeatedRequests += requests.tryTake(now, nodes) ? 1 : 0;
                for (int call = 0; call < callsOfEachRequest; ++call) {
                    calls.recordRequest(now);
                    repeatedCalls += calls.tryTake(now, nodes) ? 1 : 0;
                }
            }
        }
        const double allCalls = static_cast<double>(nodes * requestsOfEach * callsOfEachRequest);
        const double budget = settings.ratio * allCalls + settings.allowance;
        const int beyondFirst = repeatedCalls + repeatedRequests * callsOfEachRequest;
        CPPUNIT_ASSERT(beyondFirst <= budget);
    }

    void forgetsWhatIsOlderThanTheWindow()
    {
        retry_settings settings;
        settings.allowance = 2;
        settings.spentPart = 0.5;
        retry_share share(settings);
        const core::monotonic_time now{std::chrono::seconds(100)};
        CPPUNIT_ASSERT(share.tryTake(now, 1));
        CPPUNIT_ASSERT(!share.tryTake(now, 1));
        CPPUNIT_ASSERT(share.tryTake(now + std::chrono::seconds(11), 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_share_test);

} // namespace jackdawweir::forwarding
