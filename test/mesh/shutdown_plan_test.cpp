#include "jackdawweir/mesh/shutdown_plan.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::mesh {

using std::chrono::milliseconds;

class shutdown_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_plan_test);
    CPPUNIT_TEST(servesUntilCallersHaveLeft);
    CPPUNIT_TEST(refusesEarlyEnoughToFinishAcceptedRequests);
    CPPUNIT_TEST(endsOnceNoRequestIsOpen);
    CPPUNIT_TEST(endsWithinTheTimeout);
    CPPUNIT_TEST(recallsWaitingRequestsBeforeTheEnd);
    CPPUNIT_TEST(leavesOpenRequestsTheirTimeForEachTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void servesUntilCallersHaveLeft()
    {
        const shutdown_step step = m_plan.at(milliseconds(2'200), 0);
        CPPUNIT_ASSERT(!step.drains && !step.refuses && !step.ends);
    }

    // Guards against requests that are accepted seconds after the signal and cut off when the
    // process ends, as seen on scale-1 of lidolane-bc.
    void refusesEarlyEnoughToFinishAcceptedRequests()
    {
        CPPUNIT_ASSERT(m_plan.at(milliseconds(2'700), 3).refuses);
        CPPUNIT_ASSERT(!m_plan.at(milliseconds(2'700), 3).ends);
        CPPUNIT_ASSERT(!m_plan.at(milliseconds(5'400), 3).ends);
    }

    void endsOnceNoRequestIsOpen()
    {
        CPPUNIT_ASSERT(!m_plan.at(milliseconds(2'800), 0).ends);
        const shutdown_step step = m_plan.at(milliseconds(2'950), 0);
        CPPUNIT_ASSERT(step.ends && !step.cutsOff);
    }

    void endsWithinTheTimeout()
    {
        const shutdown_step step = m_plan.at(milliseconds(5'500), 1);
        CPPUNIT_ASSERT(step.ends && step.cutsOff);
        CPPUNIT_ASSERT(shutdown_plan(milliseconds(100)).at(milliseconds(0), 1).ends);
    }

    // Guards against requests that wait for a server when the process ends.
    void recallsWaitingRequestsBeforeTheEnd()
    {
        CPPUNIT_ASSERT(!m_plan.at(milliseconds(5'000), 1).recalls);
        const shutdown_step step = m_plan.at(milliseconds(5'200), 1);
        CPPUNIT_ASSERT(step.recalls && !step.ends);
    }

    // Guards against requests that are cut off earlier than a sixth before the end of a short
    // timeout.
    void leavesOpenRequestsTheirTimeForEachTimeout()
    {
        for (const int seconds : {1, 2, 3, 6, 12, 30}) {
            const milliseconds timeout = milliseconds(1'000) * seconds;
            const shutdown_plan plan(timeout);
            CPPUNIT_ASSERT(!plan.at(timeout * 5 / 6, 1).ends);
            CPPUNIT_ASSERT(plan.at(timeout - milliseconds(100), 1).ends);
        }
    }

private:
    const shutdown_plan m_plan{milliseconds(6'000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_plan_test);

} // namespace jackdawweir::mesh
