#include "jackdawweir/fleet/reply_watch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

class reply_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reply_watch_test);
    CPPUNIT_TEST(isOverdueOnceAReplyIsMissingForTheTimeout);
    CPPUNIT_TEST(isNotOverdueWhileThePeerReplies);
    CPPUNIT_TEST(isNotOverdueWhileNothingIsSent);
    CPPUNIT_TEST(doublesTheTimeoutUntilAReplyArrives);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a link that is used for good although it carries nothing.
    void isOverdueOnceAReplyIsMissingForTheTimeout()
    {
        reply_watch watch;
        watch.sent(m_now);
        watch.sent(m_now + milliseconds(400));
        CPPUNIT_ASSERT(!watch.takeOverdue(m_now + milliseconds(999)));
        CPPUNIT_ASSERT(watch.takeOverdue(m_now + milliseconds(1'000)));
        CPPUNIT_ASSERT(!watch.takeOverdue(m_now + milliseconds(1'000)));
    }

    // Guards against links that are replaced although they work.
    void isNotOverdueWhileThePeerReplies()
    {
        reply_watch watch;
        for (int message = 0; message < 10; ++message) {
            const core::monotonic_time sentAt = m_now + message * milliseconds(900);
            CPPUNIT_ASSERT(!watch.takeOverdue(sentAt));
            watch.sent(sentAt);
            watch.received();
        }
    }

    // Guards against links that are replaced because nobody has anything to say.
    void isNotOverdueWhileNothingIsSent()
    {
        reply_watch watch;
        CPPUNIT_ASSERT(!watch.takeOverdue(m_now + seconds(60)));
        watch.sent(m_now + seconds(60));
        CPPUNIT_ASSERT(!watch.takeOverdue(m_now + seconds(60)));
    }

    // Guards against many processes that load one with new links each second.
    void doublesTheTimeoutUntilAReplyArrives()
    {
        reply_watch watch({milliseconds(1'000), milliseconds(3'000)});
        core::monotonic_time sentAt = m_now;
        for (const int length : {1, 2, 3, 3}) {
            const seconds timeout(length);
            watch.sent(sentAt);
            CPPUNIT_ASSERT(!watch.takeOverdue(sentAt + timeout - milliseconds(1)));
            CPPUNIT_ASSERT(watch.takeOverdue(sentAt + timeout));
            sentAt += timeout;
        }
        watch.received();
        watch.sent(sentAt);
        CPPUNIT_ASSERT(watch.takeOverdue(sentAt + milliseconds(1'000)));
    }

private:
    core::monotonic_time m_now{seconds(1'000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(reply_watch_test);

} // namespace jackdawweir::fleet
