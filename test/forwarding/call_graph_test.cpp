#include "jackdawweir/forwarding/call_graph.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class call_graph_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_graph_test);
    CPPUNIT_TEST(learnsThatRunsCallARoute);
    CPPUNIT_TEST(countsCallsThatExpireEarlierThanTheirRun);
    CPPUNIT_TEST(takesMatchesByChanceForRequestsOfCallers);
    CPPUNIT_TEST(takesRequestsOfOtherDeadlinesForRequestsOfCallers);
    CPPUNIT_TEST(forgetsTheDeadlinesOfEndedRuns);
    CPPUNIT_TEST(statesCallsPerRunOfEachRoute);
    CPPUNIT_TEST(statesTheRefusedShare);
    CPPUNIT_TEST(forgetsRefusalsWithoutCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    static core::route_name route(const char *name)
    {
        return core::route_name{name};
    }

    void begin(std::uint64_t run, const char *name, milliseconds remaining)
    {
        m_calls.beginRun(run, route(name), m_now + remaining, m_now);
    }

    // Counts a request of the called route, which expires together with the latest run.
    bool call(milliseconds remaining)
    {
        return m_calls.isCall(route("price"), m_now + remaining, m_now);
    }

    void record(call_result result, int count)
    {
        for (int index = 0; index < count; ++index) {
            m_calls.recordCall(route("price"), core::service_name{"prices"}, result, m_now);
        }
    }

    // Lets a run of the route "order" make calls, so that the called route is known.
    void learn()
    {
        begin(1, "order", milliseconds(1'200));
        for (int index = 0; index < 10; ++index) {
            call(milliseconds(1'199));
        }
    }

    // Guards against calls that are treated as new work, and refused after their run has begun.
    void learnsThatRunsCallARoute()
    {
        CPPUNIT_ASSERT(!call(milliseconds(1'199)));
        learn();
        CPPUNIT_ASSERT(call(milliseconds(1'199)));
    }

    // Most calls have a shorter deadline of their own.
    void countsCallsThatExpireEarlierThanTheirRun()
    {
        learn();
        for (int index = 0; index < 60; ++index) {
            CPPUNIT_ASSERT(call(milliseconds(800 - index)));
        }
    }

    // Guards against callers' requests that are treated as calls and so are never refused. Many
    // runs are in progress, so that most deadlines are near that of a run.
    void takesMatchesByChanceForRequestsOfCallers()
    {
        for (int run = 0; run < 200; ++run) {
            begin(static_cast<std::uint64_t>(run), "order", milliseconds(200 + 5 * run));
        }
        for (int index = 0; index < 500; ++index) {
            CPPUNIT_ASSERT(!call(milliseconds(300 + index)));
        }
    }

    void takesRequestsOfOtherDeadlinesForRequestsOfCallers()
    {
        begin(1, "order", milliseconds(1'200));
        for (int index = 0; index < 100; ++index) {
            CPPUNIT_ASSERT(!call(milliseconds(2'000)));
        }
    }

    void forgetsTheDeadlinesOfEndedRuns()
    {
        begin(1, "order", milliseconds(1'200));
        begin(2, "order", milliseconds(1'200));
        m_calls.endRun(1);
        m_calls.endRun(2);
        for (int index = 0; index < 20; ++index) {
            CPPUNIT_ASSERT(!call(milliseconds(1'199)));
        }
    }

    // Guards against requests of routes without calls that are refused for lack of room for calls.
    void statesCallsPerRunOfEachRoute()
    {
        for (std::uint64_t run = 0; run < 99; ++run) {
            begin(2 * run + 2, "order", milliseconds(1'200));
            begin(2 * run + 3, "status", milliseconds(1'300));
        }
        learn();
        record(call_result::NotRefused, 140);
        const std::vector<downstream_load> loads = m_calls.loadsOf(route("order"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), loads.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1'400), loads[0].callsPerMilleRuns);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), loads[0].refusedPerMille);
        CPPUNIT_ASSERT(m_calls.loadsOf(route("status"), m_now).empty());
    }

    void statesTheRefusedShare()
    {
        learn();
        record(call_result::Refused, 30);
        CPPUNIT_ASSERT(m_calls.loadsOf(route("order"), m_now)[0].refusedPerMille > 900);
        record(call_result::NotRefused, 30);
        CPPUNIT_ASSERT(m_calls.loadsOf(route("order"), m_now)[0].refusedPerMille < 100);
    }

    // Guards against requests that are refused for a lack of room that was seen long ago.
    void forgetsRefusalsWithoutCalls()
    {
        learn();
        record(call_result::Refused, 30);
        const core::monotonic_time later = m_now + milliseconds(5'000);
        m_calls.beginRun(2, route("order"), later, later);
        CPPUNIT_ASSERT(m_calls.loadsOf(route("order"), later)[0].refusedPerMille < 50);
    }

private:
    call_graph m_calls;
    const core::monotonic_time m_now = core::monotonic_time(milliseconds(100'000));
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_graph_test);

} // namespace jackdawweir::forwarding
