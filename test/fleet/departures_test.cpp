#include "jackdawweir/fleet/departures.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

class departures_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departures_test);
    CPPUNIT_TEST(holdsForEarlierStartsButNoLaterOne);
    CPPUNIT_TEST(keepsTheLatestStartThatLeft);
    CPPUNIT_TEST(expiresHoweverOftenItIsHeardAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsForEarlierStartsButNoLaterOne()
    {
        departures left;
        left.add(departure{m_one, milliseconds(5000)}, now);
        CPPUNIT_ASSERT(left.since(m_one, milliseconds(5000)) == now);
        CPPUNIT_ASSERT(left.since(m_one, milliseconds(0)) == now);
        CPPUNIT_ASSERT(!left.since(m_one, milliseconds(5001)));
        CPPUNIT_ASSERT(!left.since(instance_name{"two"}, milliseconds(0)));
    }

    void keepsTheLatestStartThatLeft()
    {
        departures left;
        left.add(departure{m_one, milliseconds(5000)}, now);
        left.add(departure{m_one, milliseconds(2000)}, now + seconds(1));
        CPPUNIT_ASSERT(left.since(m_one, milliseconds(5000)) == now);
        left.add(departure{m_one, milliseconds(8000)}, now + seconds(2));
        CPPUNIT_ASSERT(left.since(m_one, milliseconds(8000)) == now + seconds(2));
    }

    // Guards against two processes that keep a departure alive by telling each other of it.
    void expiresHoweverOftenItIsHeardAgain()
    {
        departures node;
        departures source;
        node.add(departure{m_one, milliseconds(5000)}, now);
        core::monotonic_time later = now;
        for (int round = 0; round < 100; ++round) {
            later += seconds(1);
            source.add(node.listed(later), later);
            node.add(source.listed(later), later);
            node.expire(later);
            source.expire(later);
        }
        CPPUNIT_ASSERT(node.listed(later).empty());
        CPPUNIT_ASSERT(source.listed(later).empty());
    }

private:
    const instance_name m_one{"one"};
    static constexpr core::monotonic_time now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(departures_test);

} // namespace jackdawweir::fleet
