#include "jackdawweir/forwarding/prior_wait_estimator.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class prior_wait_estimator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(prior_wait_estimator_test);
    CPPUNIT_TEST(returnsZeroForTheMostFrequentTimeout);
    CPPUNIT_TEST(returnsTheWaitOfARetryingCaller);
    CPPUNIT_TEST(returnsZeroForASecondCommonTimeout);
    CPPUNIT_TEST(returnsZeroForALongerTimeout);
    CPPUNIT_TEST(tracksEachRouteSeparately);
    CPPUNIT_TEST(adaptsToANewTimeout);
    CPPUNIT_TEST(boundsTheWaitAfterAbsurdRemainingTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    static void play(prior_wait_estimator &estimator,
                     const core::route_name &route,
                     milliseconds remaining,
                     int count)
    {
        for (int request = 0; request < count; ++request) {
            estimator.estimatePriorWait(route, remaining);
        }
    }

    void returnsZeroForTheMostFrequentTimeout()
    {
        prior_wait_estimator estimator;
        CPPUNIT_ASSERT(estimator.estimatePriorWait(m_route, milliseconds(2000)) == milliseconds(0));
        play(estimator, m_route, milliseconds(2000), 20);
        CPPUNIT_ASSERT(estimator.estimatePriorWait(m_route, milliseconds(2000)) == milliseconds(0));
    }

    void returnsTheWaitOfARetryingCaller()
    {
        prior_wait_estimator estimator;
        play(estimator, m_route, milliseconds(2000), 20);
        CPPUNIT_ASSERT(estimator.estimatePriorWait(m_route, milliseconds(1400))
                       == milliseconds(600));
    }

    // Guards against taking new requests of callers with a second timeout for retries.
    void returnsZeroForASecondCommonTimeout()
    {
        prior_wait_estimator estimator;
        for (int request = 0; request < 20; ++request) {
            play(estimator, m_route, milliseconds(2000), 3);
            play(estimator, m_route, milliseconds(800), 1);
        }
        CPPUNIT_ASSERT(estimator.estimatePriorWait(m_route, milliseconds(800)) == milliseconds(0));
    }

    // Guards against a time that overflows where it is subtracted from a target.
    void boundsTheWaitAfterAbsurdRemainingTimes()
    {
        prior_wait_estimator estimator;
        play(estimator, m_route, milliseconds::max(), 20);
        CPPUNIT_ASSERT(estimator.estimatePriorWait(m_route, milliseconds(2000))
                       <= std::chrono::hours(1));
    }

    void returnsZeroForALongerTimeout()
    {
        prior_wait_estimator estimator;
        play(estimator, m_route, milliseconds(2000), 20);
        CPPUNIT_ASSERT(estimator.estimatePriorWait(m_route, milliseconds(3000)) == milliseconds(0));
    }

    void tracksEachRouteSeparately()
    {
        prior_wait_estimator estimator;
        play(estimator, m_route, milliseconds(2000), 20);
        CPPUNIT_ASSERT(estimator.estimatePriorWait(core::route_name{"other"}, milliseconds(500))
                       == milliseconds(0));
    }

    void adaptsToANewTimeout()
    {
        prior_wait_estimator estimator;
        play(estimator, m_route, milliseconds(2000), 400);
        play(estimator, m_route, milliseconds(1000), 800);
        CPPUNIT_ASSERT(estimator.estimatePriorWait(m_route, milliseconds(900))
                       == milliseconds(100));
    }

private:
    core::route_name m_route{"order"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(prior_wait_estimator_test);

} // namespace jackdawweir::forwarding
