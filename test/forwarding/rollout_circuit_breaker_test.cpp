#include "jackdawweir/forwarding/rollout_circuit_breaker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class rollout_circuit_breaker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollout_circuit_breaker_test);
    CPPUNIT_TEST(opensForATargetThatFailsHalfOfItsRequests);
    CPPUNIT_TEST(staysClosedForATargetWithFewFailures);
    CPPUNIT_TEST(staysClosedIfThePreviousVersionFailsAsOften);
    CPPUNIT_TEST(ignoresOldFailures);
    CPPUNIT_TEST(closesAfterTheOpenPeriod);
    CPPUNIT_TEST_SUITE_END();

public:
    // Records one request every 50 ms; every `failEach`th one fails, or none if it is zero.
    static core::monotonic_time play(rollout_circuit_breaker &breaker,
                                     rollout_version version,
                                     int requests,
                                     int failEach,
                                     core::monotonic_time from)
    {
        for (int number = 1; number <= requests; ++number) {
            from += milliseconds(50);
            breaker.record(version, failEach != 0 && number % failEach == 0, from);
        }
        return from;
    }

    // Guards against a faulty version that keeps getting every request of a node while no source
    // leads.
    void opensForATargetThatFailsHalfOfItsRequests()
    {
        rollout_circuit_breaker breaker;
        const core::monotonic_time now = play(breaker, rollout_version::Target, 10, 2, m_start);
        CPPUNIT_ASSERT(!breaker.allowsTarget(now));
    }

    void staysClosedForATargetWithFewFailures()
    {
        rollout_circuit_breaker breaker;
        const core::monotonic_time now = play(breaker, rollout_version::Target, 40, 10, m_start);
        CPPUNIT_ASSERT(breaker.allowsTarget(now));
    }

    void staysClosedIfThePreviousVersionFailsAsOften()
    {
        rollout_circuit_breaker breaker;
        play(breaker, rollout_version::Previous, 20, 2, m_start);
        const core::monotonic_time now = play(breaker, rollout_version::Target, 20, 2, m_start);
        CPPUNIT_ASSERT(breaker.allowsTarget(now));
    }

    void ignoresOldFailures()
    {
        rollout_circuit_breaker breaker;
        core::monotonic_time now = play(breaker, rollout_version::Target, 3, 1, m_start);
        now = play(breaker, rollout_version::Target, 1, 1, now + milliseconds(3'000));
        CPPUNIT_ASSERT(breaker.allowsTarget(now));
    }

    void closesAfterTheOpenPeriod()
    {
        rollout_circuit_breaker breaker;
        const core::monotonic_time now = play(breaker, rollout_version::Target, 10, 1, m_start);
        CPPUNIT_ASSERT(!breaker.allowsTarget(now + milliseconds(3'000)));
        CPPUNIT_ASSERT(breaker.allowsTarget(now + milliseconds(4'000)));
    }

private:
    core::monotonic_time m_start = core::monotonic_time(std::chrono::seconds(10));
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_circuit_breaker_test);

} // namespace jackdawweir::forwarding
