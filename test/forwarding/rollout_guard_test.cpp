#include "jackdawweir/forwarding/rollout_guard.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class rollout_guard_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollout_guard_test);
    CPPUNIT_TEST(stopsATargetThatFailsHalfOfItsRequests);
    CPPUNIT_TEST(keepsATargetWithFewFailures);
    CPPUNIT_TEST(keepsATargetWhoseFaultThePreviousVersionShares);
    CPPUNIT_TEST(forgetsOldFailures);
    CPPUNIT_TEST(triesTheTargetAgainAfterThePause);
    CPPUNIT_TEST_SUITE_END();

public:
    // A request each 50 ms; every `failEach`th fails, none where it is zero.
    static core::monotonic_time play(rollout_guard &guard,
                                     rollout_side side,
                                     int requests,
                                     int failEach,
                                     core::monotonic_time from)
    {
        for (int number = 1; number <= requests; ++number) {
            from += milliseconds(50);
            guard.record(side, failEach != 0 && number % failEach == 0, from);
        }
        return from;
    }

    // Guards against a bad version that goes on getting every request of a node while no source
    // leads.
    void stopsATargetThatFailsHalfOfItsRequests()
    {
        rollout_guard guard;
        const core::monotonic_time now = play(guard, rollout_side::Target, 10, 2, m_start);
        CPPUNIT_ASSERT(!guard.allowsTarget(now));
    }

    void keepsATargetWithFewFailures()
    {
        rollout_guard guard;
        const core::monotonic_time now = play(guard, rollout_side::Target, 40, 10, m_start);
        CPPUNIT_ASSERT(guard.allowsTarget(now));
    }

    void keepsATargetWhoseFaultThePreviousVersionShares()
    {
        rollout_guard guard;
        play(guard, rollout_side::Previous, 20, 2, m_start);
        const core::monotonic_time now = play(guard, rollout_side::Target, 20, 2, m_start);
        CPPUNIT_ASSERT(guard.allowsTarget(now));
    }

    void forgetsOldFailures()
    {
        rollout_guard guard;
        core::monotonic_time now = play(guard, rollout_side::Target, 3, 1, m_start);
        now = play(guard, rollout_side::Target, 1, 1, now + milliseconds(3'000));
        CPPUNIT_ASSERT(guard.allowsTarget(now));
    }

    void triesTheTargetAgainAfterThePause()
    {
        rollout_guard guard;
        const core::monotonic_time now = play(guard, rollout_side::Target, 10, 1, m_start);
        CPPUNIT_ASSERT(!guard.allowsTarget(now + milliseconds(3'000)));
        CPPUNIT_ASSERT(guard.allowsTarget(now + milliseconds(4'000)));
    }

private:
    core::monotonic_time m_start = core::monotonic_time(std::chrono::seconds(10));
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_guard_test);

} // namespace jackdawweir::forwarding
