#include "jackdawweir/forwarding/downstream_admission.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class downstream_admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(downstream_admission_test);
    CPPUNIT_TEST(admitsEverythingWithoutStatements);
    CPPUNIT_TEST(admitsEverythingWhileNoCallIsRefused);
    CPPUNIT_TEST(admitsFewerWhileCallsAreRefused);
    CPPUNIT_TEST(admitsRoutesWithoutCalls);
    CPPUNIT_TEST(keepsProbingWhileAllCallsAreRefused);
    CPPUNIT_TEST(admitsUrgentRequestsLongest);
    CPPUNIT_TEST(admitsAllAgainOnceCallsAreServed);
    CPPUNIT_TEST(admitsAllAgainOnceNothingIsStated);
    CPPUNIT_TEST(refusesCallersThatReturnAtOnce);
    CPPUNIT_TEST(asksForALaterReturnWhenLittleIsAdmitted);
    CPPUNIT_TEST(isShortWhileCallsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    downstream_decision
    decide(const char *route, std::uint32_t rank = 2, milliseconds priorWait = milliseconds(0))
    {
        return m_admission.decide(
            downstream_request{core::route_name{route}, rank, priorWait}, m_now, m_engine);
    }

    // Returns the admitted share of the requests of the route.
    double shareOf(const char *route, std::uint32_t rank = 2)
    {
        constexpr int count = 500;
        int admitted = 0;
        for (int index = 0; index < count; ++index) {
            admitted += decide(route, rank).isAdmitted ? 1 : 0;
        }
        return static_cast<double>(admitted) / count;
    }

    void state(std::uint32_t refusedPerMille, const char *route = "order")
    {
        m_admission.record(core::route_name{route},
                           {downstream_load{core::service_name{"prices"}, 1'400, refusedPerMille}},
                           m_now);
    }

    // Passes a time in which requests arrive and answers state the refused share.
    void pass(milliseconds time, std::uint32_t refusedPerMille)
    {
        constexpr milliseconds step{20};
        for (milliseconds passed{0}; passed < time; passed += step) {
            m_now += step;
            state(refusedPerMille);
            decide("order");
        }
    }

    void admitsEverythingWithoutStatements()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, shareOf("order"));
    }

    void admitsEverythingWhileNoCallIsRefused()
    {
        pass(milliseconds(2'000), 10);
        CPPUNIT_ASSERT_EQUAL(1.0, shareOf("order"));
    }

    // Guards against runs that begin although the service behind them has no room.
    void admitsFewerWhileCallsAreRefused()
    {
        pass(milliseconds(1'000), 400);
        CPPUNIT_ASSERT(shareOf("order") < 0.6);
    }

    void admitsRoutesWithoutCalls()
    {
        pass(milliseconds(1'000), 400);
        CPPUNIT_ASSERT_EQUAL(1.0, shareOf("confirm"));
    }

    // Guards against a service that is never called again after it was full.
    void keepsProbingWhileAllCallsAreRefused()
    {
        pass(milliseconds(10'000), 1'000);
        const double share = shareOf("order");
        CPPUNIT_ASSERT(share > 0.01 && share < 0.15);
    }

    // Guards against urgent requests that give way to less urgent ones.
    void admitsUrgentRequestsLongest()
    {
        pass(milliseconds(1'000), 300);
        state(300, "urgent");
        for (int index = 0; index < 400; ++index) {
            decide(index % 8 == 0 ? "urgent" : "order", index % 8 == 0 ? 1 : 2);
        }
        int admitted = 0;
        for (int index = 0; index < 50; ++index) {
            admitted += decide("urgent", 1).isAdmitted ? 1 : 0;
        }
        CPPUNIT_ASSERT(admitted > 45);
        CPPUNIT_ASSERT(shareOf("order", 2) < 0.5);
    }

    void admitsAllAgainOnceCallsAreServed()
    {
        pass(milliseconds(1'000), 400);
        pass(milliseconds(8'000), 0);
        CPPUNIT_ASSERT_EQUAL(1.0, shareOf("order"));
    }

    // Guards against refusals for a lack of room that was stated long ago.
    void admitsAllAgainOnceNothingIsStated()
    {
        pass(milliseconds(1'000), 400);
        for (int index = 0; index < 600; ++index) {
            m_now += milliseconds(20);
            decide("order");
        }
        CPPUNIT_ASSERT_EQUAL(1.0, shareOf("order"));
    }

    // Guards against callers that gain by repeating at once.
    void refusesCallersThatReturnAtOnce()
    {
        pass(milliseconds(1'000), 400);
        for (int index = 0; index < 200; ++index) {
            CPPUNIT_ASSERT(!decide("order", 2, milliseconds(20)).isAdmitted);
        }
    }

    void asksForALaterReturnWhenLittleIsAdmitted()
    {
        pass(milliseconds(500), 200);
        const milliseconds early = decide("order").retryAfter;
        pass(milliseconds(5'000), 800);
        CPPUNIT_ASSERT(early > milliseconds(0));
        CPPUNIT_ASSERT(decide("order").retryAfter > early);
    }

    // Guards against repeats of failed runs, which make their calls again.
    void isShortWhileCallsAreRefused()
    {
        CPPUNIT_ASSERT(!m_admission.isShort(core::route_name{"order"}, m_now));
        pass(milliseconds(1'000), 400);
        CPPUNIT_ASSERT(m_admission.isShort(core::route_name{"order"}, m_now));
        CPPUNIT_ASSERT(!m_admission.isShort(core::route_name{"confirm"}, m_now));
    }

private:
    downstream_admission m_admission;
    core::random_engine m_engine{7};
    core::monotonic_time m_now{milliseconds(100'000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(downstream_admission_test);

} // namespace jackdawweir::forwarding
