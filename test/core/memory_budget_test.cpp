#include "jackdawweir/core/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::core {

class memory_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_budget_test);
    CPPUNIT_TEST(countsWhatClaimsHold);
    CPPUNIT_TEST(permitsASingleHolderOfAnySize);
    CPPUNIT_TEST(leavesRoomForResponses);
    CPPUNIT_TEST(reportsGrowthBeyondTheLimitOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against memory that stays counted once its holder is gone.
    void countsWhatClaimsHold()
    {
        const auto budget = std::make_shared<memory_budget>(1000);
        {
            memory_claim first(budget, memory_use::CallerResponse);
            first.resize(300);
            memory_claim second(budget, memory_use::LinkFrame);
            second.resize(200);
            second.resize(50);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{350}, budget->used());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, budget->used(memory_use::LinkFrame));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget->used());
    }

    // Guards against a limit that a caller within its own limits meets.
    void permitsASingleHolderOfAnySize()
    {
        const auto budget = std::make_shared<memory_budget>(1000);
        CPPUNIT_ASSERT(budget->permits(memory_use::ServedRequest, 5000));
        memory_claim held(budget, memory_use::ServedRequest);
        held.resize(200);
        CPPUNIT_ASSERT(budget->permits(memory_use::ServedRequest, 50));
        CPPUNIT_ASSERT(!budget->permits(memory_use::ServedRequest, 51));
        CPPUNIT_ASSERT(budget->permits(memory_use::ServedRequest, 5000, 200));
    }

    // Guards against requests that leave no memory for the responses to them.
    void leavesRoomForResponses()
    {
        const auto budget = std::make_shared<memory_budget>(1000);
        memory_claim requests(budget, memory_use::CallerRequest);
        requests.resize(500);
        CPPUNIT_ASSERT(!budget->exceedsShare(memory_use::CallerRequest));
        CPPUNIT_ASSERT(!budget->permits(memory_use::CallerRequest, 1));
        CPPUNIT_ASSERT(budget->permits(memory_use::CallerResponse, 1000));
    }

    void reportsGrowthBeyondTheLimitOnly()
    {
        const auto budget = std::make_shared<memory_budget>(1000);
        int reports = 0;
        budget->onExceeded([&reports] { ++reports; });
        memory_claim held(budget, memory_use::CallerResponse);
        held.resize(1000);
        CPPUNIT_ASSERT_EQUAL(0, reports);
        held.resize(1001);
        CPPUNIT_ASSERT_EQUAL(1, reports);
        held.resize(900);
        CPPUNIT_ASSERT_EQUAL(1, reports);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_budget_test);

} // namespace jackdawweir::core
