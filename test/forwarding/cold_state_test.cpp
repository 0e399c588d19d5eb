#include "jackdawweir/forwarding/cold_state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;
using std::chrono::seconds;

class cold_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_state_test);
    CPPUNIT_TEST(isColdForTheAnnouncedTime);
    CPPUNIT_TEST(keepsALongerTimeThanALateAnnouncementStates);
    CPPUNIT_TEST(isColdWhileSuspected);
    CPPUNIT_TEST(endsASuspicionByAHealthCheck);
    CPPUNIT_TEST(endsASuspicionByALaterAnnouncement);
    CPPUNIT_TEST(ignoresAnAnnouncementThatMayBeOlderThanTheSuspicion);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr core::monotonic_time begin{seconds(100)};

    void isColdForTheAnnouncedTime()
    {
        cold_state cold;
        CPPUNIT_ASSERT(!cold.isCold(begin));
        cold.announced(seconds(3), begin);
        CPPUNIT_ASSERT(cold.isCold(begin + milliseconds(2999)));
        CPPUNIT_ASSERT(milliseconds(1000) == cold.remaining(begin + seconds(2)));
        CPPUNIT_ASSERT(!cold.isCold(begin + seconds(3)));
        CPPUNIT_ASSERT(milliseconds(0) == cold.remaining(begin + seconds(4)));
    }

    // Guards against an announcement from before the server became cold that arrives after it.
    void keepsALongerTimeThanALateAnnouncementStates()
    {
        cold_state cold;
        cold.announced(seconds(3), begin);
        cold.announced(seconds(0), begin + seconds(1));
        CPPUNIT_ASSERT(cold.isCold(begin + seconds(2)));
    }

    void isColdWhileSuspected()
    {
        cold_state cold;
        cold.suspect(begin);
        CPPUNIT_ASSERT(cold.isUncertain());
        CPPUNIT_ASSERT(cold.isCold(begin + seconds(60)));
        CPPUNIT_ASSERT(cold.remaining(begin) > milliseconds(0));
    }

    void endsASuspicionByAHealthCheck()
    {
        cold_state cold;
        cold.suspect(begin);
        cold.checked(milliseconds(0), begin + milliseconds(2));
        CPPUNIT_ASSERT(!cold.isCold(begin + milliseconds(2)));
        cold.suspect(begin + seconds(1));
        cold.checked(seconds(2), begin + seconds(1));
        CPPUNIT_ASSERT(!cold.isUncertain());
        CPPUNIT_ASSERT(cold.isCold(begin + milliseconds(2999)));
        CPPUNIT_ASSERT(!cold.isCold(begin + seconds(3)));
    }

    void endsASuspicionByALaterAnnouncement()
    {
        cold_state cold;
        cold.suspect(begin);
        cold.announced(seconds(2), begin + milliseconds(10));
        CPPUNIT_ASSERT(!cold.isUncertain());
        cold.suspect(begin + seconds(5));
        cold.announced(seconds(0), begin + seconds(7));
        CPPUNIT_ASSERT(!cold.isCold(begin + seconds(7)));
    }

    // Guards against requests at the full rate to a server that has become cold, because its last
    // announcement from before was held up.
    void ignoresAnAnnouncementThatMayBeOlderThanTheSuspicion()
    {
        cold_state cold;
        cold.suspect(begin);
        cold.announced(seconds(0), begin + milliseconds(100));
        CPPUNIT_ASSERT(cold.isCold(begin + milliseconds(100)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_state_test);

} // namespace jackdawweir::forwarding
