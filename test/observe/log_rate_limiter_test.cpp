#include "jackdawweir/observe/log_rate_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::observe {

class log_rate_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_rate_limiter_test);
    CPPUNIT_TEST(limitsLinesUnderLoad);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a log volume that grows with the load.
    void limitsLinesUnderLoad()
    {
        log_rate_limiter limiter(10, 20);
        core::monotonic_time now{std::chrono::seconds(100)};
        int written = 0;
        for (int line = 0; line < 10'000; ++line) {
            written += limiter.tryTake(now) ? 1 : 0;
            now += std::chrono::milliseconds(1);
        }
        CPPUNIT_ASSERT(written >= 119 && written <= 120);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10'000 - written), limiter.takeSuppressed());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, limiter.takeSuppressed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_rate_limiter_test);

} // namespace jackdawweir::observe
