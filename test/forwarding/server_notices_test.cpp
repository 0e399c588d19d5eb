#include "jackdawweir/forwarding/server_notices.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_notices_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_notices_test);
    CPPUNIT_TEST(returnsWhatAServerStatedLast);
    CPPUNIT_TEST(keepsNothingForALaterStart);
    CPPUNIT_TEST(ignoresWhatAnEarlierStartStated);
    CPPUNIT_TEST(forgetsAServerThatIsSilentForLong);
    CPPUNIT_TEST(keepsALeaveUntilALaterStart);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr core::monotonic_time now{seconds(100)};
    static constexpr milliseconds firstStart{1000};
    static constexpr milliseconds secondStart{2000};

    void record(double requestsPerSecond, milliseconds startedAt = firstStart)
    {
        m_notices.record(m_instance, server_statement{requestsPerSecond, false, startedAt}, now);
    }

    double limitOf(milliseconds startedAt = firstStart) const
    {
        return m_notices.find(m_instance, startedAt).requestsPerSecond;
    }

    void returnsWhatAServerStatedLast()
    {
        CPPUNIT_ASSERT_EQUAL(0.0, limitOf());
        record(5);
        CPPUNIT_ASSERT_EQUAL(5.0, limitOf());
        record(0);
        CPPUNIT_ASSERT_EQUAL(0.0, limitOf());
    }

    // Guards against the limit of a server that has ended, at the one that replaced it.
    void keepsNothingForALaterStart()
    {
        record(5);
        CPPUNIT_ASSERT_EQUAL(0.0, limitOf(secondStart));
        CPPUNIT_ASSERT_EQUAL(5.0, limitOf());
    }

    // Guards against an answer of the earlier start that arrives late.
    void ignoresWhatAnEarlierStartStated()
    {
        record(5, secondStart);
        record(2, firstStart);
        CPPUNIT_ASSERT_EQUAL(5.0, limitOf(secondStart));
    }

    // Guards against an answer of a restarted node, which was not told of the leave.
    void keepsALeaveUntilALaterStart()
    {
        m_notices.record(m_instance, server_statement{0, true, firstStart}, now);
        m_notices.record(m_instance, server_statement{0, false, firstStart}, now);
        CPPUNIT_ASSERT(m_notices.isLeaving(m_instance, firstStart));
        CPPUNIT_ASSERT(!m_notices.isLeaving(m_instance, secondStart));
        m_notices.record(m_instance, server_statement{0, false, secondStart}, now);
        CPPUNIT_ASSERT(!m_notices.isLeaving(m_instance, secondStart));
    }

    void forgetsAServerThatIsSilentForLong()
    {
        record(5);
        m_notices.expire(now + seconds(59));
        CPPUNIT_ASSERT_EQUAL(5.0, limitOf());
        m_notices.expire(now + seconds(60));
        CPPUNIT_ASSERT_EQUAL(0.0, limitOf());
    }

private:
    fleet::instance_name m_instance{"server-1"};
    server_notices m_notices;
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_notices_test);

} // namespace jackdawweir::forwarding
