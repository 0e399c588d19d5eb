#include "jackdawweir/forwarding/call_graph.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class call_graph_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_graph_test);
    CPPUNIT_TEST(findsTheRunThatSharesTheDeadline);
    CPPUNIT_TEST(findsNoCallerForOtherDeadlines);
    CPPUNIT_TEST(findsNoCallerOnceTheRunHasEnded);
    CPPUNIT_TEST(keepsApartRunsWithTheSameDeadline);
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

    void record(const char *caller, call_result result, int count)
    {
        for (int index = 0; index < count; ++index) {
            m_calls.recordCall(route(caller), core::service_name{"prices"}, result, m_now);
        }
    }

    // Guards against calls that are treated as new work, and refused after their run has begun.
    void findsTheRunThatSharesTheDeadline()
    {
        begin(1, "order", milliseconds(1'200));
        begin(2, "status", milliseconds(1'240));
        CPPUNIT_ASSERT(m_calls.findCaller(m_now + milliseconds(1'199)) == route("order"));
        CPPUNIT_ASSERT(m_calls.findCaller(m_now + milliseconds(1'241)) == route("status"));
    }

    // Guards against callers' requests that are treated as calls and so are never refused.
    void findsNoCallerForOtherDeadlines()
    {
        begin(1, "order", milliseconds(1'200));
        CPPUNIT_ASSERT(!m_calls.findCaller(m_now + milliseconds(1'220)));
    }

    void findsNoCallerOnceTheRunHasEnded()
    {
        begin(1, "order", milliseconds(1'200));
        m_calls.endRun(1);
        CPPUNIT_ASSERT(!m_calls.findCaller(m_now + milliseconds(1'200)));
    }

    void keepsApartRunsWithTheSameDeadline()
    {
        begin(1, "order", milliseconds(1'200));
        begin(2, "status", milliseconds(1'200));
        m_calls.endRun(1);
        CPPUNIT_ASSERT(m_calls.findCaller(m_now + milliseconds(1'200)) == route("status"));
    }

    // Guards against requests of routes without calls that are refused for lack of room for calls.
    void statesCallsPerRunOfEachRoute()
    {
        for (std::uint64_t run = 0; run < 100; ++run) {
            begin(2 * run, "order", milliseconds(1'200));
            begin(2 * run + 1, "status", milliseconds(1'200));
        }
        record("order", call_result::Served, 140);
        const std::vector<downstream_load> loads = m_calls.loadsOf(route("order"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), loads.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1'400), loads[0].callsPerMilleRuns);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), loads[0].refusedPerMille);
        CPPUNIT_ASSERT(m_calls.loadsOf(route("status"), m_now).empty());
    }

    void statesTheRefusedShare()
    {
        begin(1, "order", milliseconds(1'200));
        record("order", call_result::Refused, 30);
        CPPUNIT_ASSERT(m_calls.loadsOf(route("order"), m_now)[0].refusedPerMille > 900);
        record("order", call_result::Served, 30);
        CPPUNIT_ASSERT(m_calls.loadsOf(route("order"), m_now)[0].refusedPerMille < 100);
    }

    // Guards against requests that are refused for a lack of room that was seen long ago.
    void forgetsRefusalsWithoutCalls()
    {
        begin(1, "order", milliseconds(1'200));
        record("order", call_result::Refused, 30);
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
