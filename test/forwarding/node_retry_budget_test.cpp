#include "jackdawweir/forwarding/node_retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

class node_retry_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_retry_budget_test);
    CPPUNIT_TEST(keepsAllNodesWithinTheBudget);
    CPPUNIT_TEST(keepsTheCallsOfRetriedRequestsWithinTheBudget);
    CPPUNIT_TEST(ignoresRetriesOlderThanTheWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that each keep to the budget but exceed it in total.
    void keepsAllNodesWithinTheBudget()
    {
        constexpr std::size_t nodes = 20;
        constexpr int requestsOfEach = 100;
        retry_settings settings;
        settings.allowance = 60;
        core::monotonic_time now{std::chrono::seconds(100)};
        int taken = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            node_retry_budget nodeBudget(settings);
            for (int request = 0; request < requestsOfEach; ++request) {
                nodeBudget.recordRequest(now);
                taken += nodeBudget.tryTake(now, nodes) ? 1 : 0;
            }
        }
        const double budget
            = settings.ratio * static_cast<double>(nodes * requestsOfEach) + settings.allowance;
        CPPUNIT_ASSERT(taken > 0);
        CPPUNIT_ASSERT(taken <= budget);
    }

    // Guards against exceeding the budget of a service because requests of another service are
    // retried and make their calls to it again. Seen on scale-1 of ccw-mesh with seed 177474363776.
    void keepsTheCallsOfRetriedRequestsWithinTheBudget()
    {
        constexpr std::size_t nodes = 17;
        constexpr int requestsOfEach = 150;
        constexpr int callsOfEachRequest = 2;
        retry_settings settings;
        settings.allowance = 62;
        const core::monotonic_time now{std::chrono::seconds(100)};
        int retriedRequests = 0;
        int retriedCalls = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            node_retry_budget requests(settings);
            node_retry_budget calls(settings);
            for (int request = 0; request < requestsOfEach; ++request) {
                requests.recordRequest(now);
                retriedRequests += requests.tryTake(now, nodes) ? 1 : 0;
                for (int call = 0; call < callsOfEachRequest; ++call) {
                    calls.recordRequest(now);
                    retriedCalls += calls.tryTake(now, nodes) ? 1 : 0;
                }
            }
        }
        const double allCalls = static_cast<double>(nodes * requestsOfEach * callsOfEachRequest);
        const double budget = settings.ratio * allCalls + settings.allowance;
        const int beyondFirst = retriedCalls + retriedRequests * callsOfEachRequest;
        CPPUNIT_ASSERT(beyondFirst <= budget);
    }

    void ignoresRetriesOlderThanTheWindow()
    {
        retry_settings settings;
        settings.allowance = 2;
        settings.usableFraction = 0.5;
        node_retry_budget nodeBudget(settings);
        const core::monotonic_time now{std::chrono::seconds(100)};
        CPPUNIT_ASSERT(nodeBudget.tryTake(now, 1));
        CPPUNIT_ASSERT(!nodeBudget.tryTake(now, 1));
        CPPUNIT_ASSERT(nodeBudget.tryTake(now + std::chrono::seconds(11), 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_retry_budget_test);

} // namespace jackdawweir::forwarding
