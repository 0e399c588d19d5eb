#include "jackdawweir/forwarding/remote_admission.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class remote_admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(remote_admission_test);
    CPPUNIT_TEST(isLikelyWithoutObservations);
    CPPUNIT_TEST(isUnlikelyWhileRequestsAreRefused);
    CPPUNIT_TEST(isLikelyAgainOnceRequestsAreAdmitted);
    CPPUNIT_TEST(forgetsOldRefusals);
    CPPUNIT_TEST(keepsServicesApart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Returns how many of 1,000 requests of the service are tried in another data centre.
    int countLikely(const char *service, core::monotonic_time at)
    {
        int likely = 0;
        for (int index = 0; index < 1'000; ++index) {
            likely += m_remote.isLikely(core::service_name{service}, at, m_engine) ? 1 : 0;
        }
        return likely;
    }

    void record(bool isAdmitted, int count)
    {
        for (int index = 0; index < count; ++index) {
            m_remote.record(core::service_name{"stock"}, isAdmitted, m_now);
        }
    }

    void isLikelyWithoutObservations()
    {
        CPPUNIT_ASSERT_EQUAL(1'000, countLikely("stock", m_now));
    }

    void isUnlikelyWhileRequestsAreRefused()
    {
        record(false, 20);
        const int likely = countLikely("stock", m_now);
        // Some are still tried, so that free room is noticed.
        CPPUNIT_ASSERT(likely > 0 && likely < 100);
    }

    void isLikelyAgainOnceRequestsAreAdmitted()
    {
        record(false, 20);
        record(true, 10);
        CPPUNIT_ASSERT_EQUAL(1'000, countLikely("stock", m_now));
    }

    // Guards against a data centre that keeps its overload to itself long after the others have
    // room.
    void forgetsOldRefusals()
    {
        record(false, 50);
        CPPUNIT_ASSERT_EQUAL(1'000, countLikely("stock", m_now + milliseconds(1'500)));
    }

    void keepsServicesApart()
    {
        record(false, 20);
        CPPUNIT_ASSERT_EQUAL(1'000, countLikely("orders", m_now));
    }

private:
    remote_admission m_remote;
    core::random_engine m_engine{7};
    const core::monotonic_time m_now = core::monotonic_time(milliseconds(100'000));
};

CPPUNIT_TEST_SUITE_REGISTRATION(remote_admission_test);

} // namespace jackdawweir::forwarding
