#include "jackdawweir/forwarding/caller_patience.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class caller_patience_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_patience_test);
    CPPUNIT_TEST(takesTheUsualTimeForFresh);
    CPPUNIT_TEST(tellsHowLongAReturningCallerWaited);
    CPPUNIT_TEST(takesASecondCommonTimeForFresh);
    CPPUNIT_TEST(takesALongerTimeForFresh);
    CPPUNIT_TEST(keepsRoutesApart);
    CPPUNIT_TEST(learnsANewTime);
    CPPUNIT_TEST_SUITE_END();

public:
    static void play(caller_patience &patience,
                     const core::route_name &route,
                     milliseconds remaining,
                     int count)
    {
        for (int request = 0; request < count; ++request) {
            patience.waitedBefore(route, remaining);
        }
    }

    void takesTheUsualTimeForFresh()
    {
        caller_patience patience;
        CPPUNIT_ASSERT(patience.waitedBefore(m_route, milliseconds(2000)) == milliseconds(0));
        play(patience, m_route, milliseconds(2000), 20);
        CPPUNIT_ASSERT(patience.waitedBefore(m_route, milliseconds(2000)) == milliseconds(0));
    }

    void tellsHowLongAReturningCallerWaited()
    {
        caller_patience patience;
        play(patience, m_route, milliseconds(2000), 20);
        CPPUNIT_ASSERT(patience.waitedBefore(m_route, milliseconds(1400)) == milliseconds(600));
    }

    // Guards against callers of another kind that are taken for returning ones.
    void takesASecondCommonTimeForFresh()
    {
        caller_patience patience;
        for (int request = 0; request < 20; ++request) {
            play(patience, m_route, milliseconds(2000), 3);
            play(patience, m_route, milliseconds(800), 1);
        }
        CPPUNIT_ASSERT(patience.waitedBefore(m_route, milliseconds(800)) == milliseconds(0));
    }

    void takesALongerTimeForFresh()
    {
        caller_patience patience;
        play(patience, m_route, milliseconds(2000), 20);
        CPPUNIT_ASSERT(patience.waitedBefore(m_route, milliseconds(3000)) == milliseconds(0));
    }

    void keepsRoutesApart()
    {
        caller_patience patience;
        play(patience, m_route, milliseconds(2000), 20);
        CPPUNIT_ASSERT(patience.waitedBefore(core::route_name{"other"}, milliseconds(500))
                       == milliseconds(0));
    }

    void learnsANewTime()
    {
        caller_patience patience;
        play(patience, m_route, milliseconds(2000), 400);
        play(patience, m_route, milliseconds(1000), 800);
        CPPUNIT_ASSERT(patience.waitedBefore(m_route, milliseconds(900)) == milliseconds(100));
    }

private:
    core::route_name m_route{"order"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_patience_test);

} // namespace jackdawweir::forwarding
