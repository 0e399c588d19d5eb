#include "jackdawweir/forwarding/rate_limiter.h"

#include <algorithm>
#include <random>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace jackdawweir::forwarding {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

class rate_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_limiter_test);
    CPPUNIT_TEST(permitsEverythingWithoutARate);
    CPPUNIT_TEST(permitsNothingAtTheBeginningOfALimit);
    CPPUNIT_TEST(permitsARequestWhenTheStatedWaitIsOver);
    CPPUNIT_TEST(startsNoBurstWhenTheRateDrops);
    CPPUNIT_TEST(keepsToTheRateInAnySpan);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr core::monotonic_time start{seconds(100)};

    void permitsEverythingWithoutARate()
    {
        rate_limiter limiter;
        for (int count = 0; count < 1000; ++count) {
            CPPUNIT_ASSERT(limiter.tryTake(start));
        }
        CPPUNIT_ASSERT(limiter.waitFor(1000, start) == microseconds(0));
    }

    // Guards against a burst on top of what the server has just got.
    void permitsNothingAtTheBeginningOfALimit()
    {
        rate_limiter limiter;
        limiter.setRate(5, start);
        CPPUNIT_ASSERT(!limiter.tryTake(start));
        CPPUNIT_ASSERT(limiter.tryTake(start + milliseconds(200)));
    }

    // Guards against a stated wait after which the request is refused again.
    void permitsARequestWhenTheStatedWaitIsOver()
    {
        for (const double rate : {0.3, 2.1, 7.6, 36.9, 1234.5}) {
            rate_limiter limiter;
            limiter.setRate(rate, start);
            core::monotonic_time now = start;
            for (int count = 0; count < 100; ++count) {
                const microseconds wait = limiter.waitFor(1, now);
                CPPUNIT_ASSERT(wait > microseconds(0));
                CPPUNIT_ASSERT(!limiter.tryTake(now + wait - microseconds(2)));
                now += wait;
                CPPUNIT_ASSERT(limiter.tryTake(now));
            }
        }
    }

    // Guards against permits of a high rate that are used after the server has lowered it.
    void startsNoBurstWhenTheRateDrops()
    {
        rate_limiter limiter;
        limiter.setRate(1000, start);
        limiter.setRate(1, start + seconds(10));
        int taken = 0;
        while (limiter.tryTake(start + seconds(10))) {
            ++taken;
        }
        CPPUNIT_ASSERT_EQUAL(1, taken);
    }

    void keepsToTheRateInAnySpan()
    {
        test::checkProperty("no span holds more requests than the rate allows", [](int seed) {
            std::mt19937 engine(static_cast<unsigned>(seed));
            const double rate = std::uniform_real_distribution<double>(0.2, 60)(engine);
            std::exponential_distribution<double> pause(rate * 3);
            rate_limiter limiter;
            limiter.setRate(rate, start);
            std::vector<core::monotonic_time> taken;
            core::monotonic_time now = start;
            while (now < start + seconds(30)) {
                now += std::chrono::duration_cast<std::chrono::nanoseconds>(
                    std::chrono::duration<double>(pause(engine)));
                if (limiter.tryTake(now)) {
                    taken.push_back(now);
                }
            }
            for (auto each = taken.begin(); each != taken.end(); ++each) {
                const auto end = std::lower_bound(each, taken.end(), *each + seconds(4));
                RC_ASSERT(static_cast<double>(end - each) <= rate * 4.1 + 1.001);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_limiter_test);

} // namespace jackdawweir::forwarding
