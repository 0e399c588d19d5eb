#include "jackdawweir/forwarding/server_pace.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class server_pace_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_pace_test);
    CPPUNIT_TEST(readsThreeAndFourFigures);
    CPPUNIT_TEST(refusesOtherTexts);
    CPPUNIT_TEST(expectsUsualWorkWithoutFigures);
    CPPUNIT_TEST(followsTheLatestFigure);
    CPPUNIT_TEST(forgetsAnOldFigure);
    CPPUNIT_TEST(takesALastingFigureForUsual);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsThreeAndFourFigures()
    {
        const std::optional<stated_load> three = parseStatedLoad("3,0,8");
        CPPUNIT_ASSERT(three == (stated_load{3, 0, 8, std::nullopt}));
        const std::optional<stated_load> four = parseStatedLoad("18,7,18,250");
        CPPUNIT_ASSERT(four == (stated_load{18, 7, 18, 250}));
    }

    // Guards against a malformed header that is taken for a very fast or very slow server.
    void refusesOtherTexts()
    {
        for (const char *text : {"",
                                 "3",
                                 "3,0",
                                 "3,0,8,",
                                 "3,0,8,0",
                                 "3,0,8,100,1",
                                 "3,0,x",
                                 "3,0,8,-5",
                                 "3;0;8",
                                 " 3,0,8",
                                 "3,0,8,99999999999"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseStatedLoad(text));
        }
    }

    void expectsUsualWorkWithoutFigures()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, m_pace.slowdown(m_now));
    }

    void followsTheLatestFigure()
    {
        m_pace.record(100, m_now);
        m_pace.record(250, m_now);
        CPPUNIT_ASSERT(m_pace.slowdown(m_now) > 2.3);
        m_pace.record(100, m_now);
        CPPUNIT_ASSERT(m_pace.slowdown(m_now) < 1.05);
    }

    // Guards against a server that is avoided long after it has become fast again.
    void forgetsAnOldFigure()
    {
        m_pace.record(100, m_now);
        m_pace.record(250, m_now);
        const double after = m_pace.slowdown(m_now + milliseconds(300));
        CPPUNIT_ASSERT(after > 1.6 && after < 1.8);
        CPPUNIT_ASSERT(m_pace.slowdown(m_now + milliseconds(3'000)) < 1.01);
    }

    // Guards against counting a lasting slowness twice, since measured run times hold it already.
    void takesALastingFigureForUsual()
    {
        for (int index = 0; index < 1'000; ++index) {
            m_pace.record(200, m_now);
        }
        CPPUNIT_ASSERT(m_pace.slowdown(m_now) < 1.05);
    }

private:
    server_pace m_pace;
    const core::monotonic_time m_now = core::monotonic_time(milliseconds(100'000));
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_pace_test);

} // namespace jackdawweir::forwarding
