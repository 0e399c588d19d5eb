// Runs load through the placement model and checks how many requests are answered in time.

#include <cppunit/extensions/HelperMacros.h>

#include "bench/placement_model_run.h"

namespace jackdawweir::bench {

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(answersMostRequestsInTimeBelowCapacity);
    CPPUNIT_TEST(answersMoreInTimeThanThePreviousRules);
    CPPUNIT_TEST(answersMoreInTimeThanPlainProxies);
    CPPUNIT_TEST(leavesNoRequestWithoutAnEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    static placement_figures play(placement kind, double load)
    {
        placement_shape shape;
        shape.servers = 8;
        shape.nodesWithoutServer = 8;
        placement_figures sum;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const placement_figures played = placement_model(shape, load, kind, seed).run();
            sum.requests += played.requests;
            sum.onTime += played.onTime;
            sum.late += played.late;
            sum.refused += played.refused;
            sum.failed += played.failed;
        }
        return sum;
    }

    // Guards against queues at single servers while others are idle. One request in eight takes
    // longer than its target at an idle server of half the usual speed.
    void answersMostRequestsInTimeBelowCapacity()
    {
        const placement_figures played = play(placement::Shipped, 0.5);
        CPPUNIT_ASSERT(played.onTime > 0.88 * played.requests);
        CPPUNIT_ASSERT(played.onTime + played.late > 0.99 * played.requests);
    }

    // Guards against waiting at the first full server, and against callers that retry too late to
    // be answered in time but take the slots of requests that can be.
    void answersMoreInTimeThanThePreviousRules()
    {
        for (const double load : {0.8, 1.5}) {
            const placement_figures shipped = play(placement::Shipped, load);
            const placement_figures previous = play(placement::Previous, load);
            CPPUNIT_ASSERT(shipped.onTime > previous.onTime);
        }
    }

    void answersMoreInTimeThanPlainProxies()
    {
        for (const double load : {0.5, 1.5}) {
            const placement_figures shipped = play(placement::Shipped, load);
            CPPUNIT_ASSERT(shipped.onTime > play(placement::LeastConnections, load).onTime);
            CPPUNIT_ASSERT(shipped.onTime > play(placement::RoundRobin, load).onTime);
        }
    }

    void leavesNoRequestWithoutAnEnd()
    {
        const placement_figures played = play(placement::Shipped, 3);
        CPPUNIT_ASSERT_EQUAL(played.requests,
                             played.onTime + played.late + played.refused + played.failed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

} // namespace jackdawweir::bench
