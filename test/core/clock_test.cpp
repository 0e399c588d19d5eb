#include "jackdawweir/core/clock.h"

#include <ctime>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::core {

class clock_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(clock_test);
    CPPUNIT_TEST(includesSuspendedTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a leader that treats its expired lease as valid after its host was suspended
    // for seconds. The test cannot suspend the host, so it compares the clock with CLOCK_BOOTTIME,
    // which includes suspended time.
    void includesSuspendedTime()
    {
        const system_clock_source clock;
        const std::chrono::nanoseconds before = readBootTime();
        const std::chrono::nanoseconds now = clock.monotonicNow().time_since_epoch();
        const std::chrono::nanoseconds after = readBootTime();
        CPPUNIT_ASSERT(before <= now);
        CPPUNIT_ASSERT(now <= after);
    }

private:
    static std::chrono::nanoseconds readBootTime()
    {
        timespec now{};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(clock_test);

} // namespace jackdawweir::core
