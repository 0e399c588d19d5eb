#include "jackdawweir/fleet/departures.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

class departures_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departures_test);
    CPPUNIT_TEST(appliesToEarlierStartsButNotToLaterOnes);
    CPPUNIT_TEST(keepsTheLatestDepartedStart);
    CPPUNIT_TEST(expiresHoweverOftenItIsReceivedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void appliesToEarlierStartsButNotToLaterOnes()
    {
        departures table;
        table.add(departure{m_one, milliseconds(5000)}, now);
        CPPUNIT_ASSERT(table.departedAt(m_one, milliseconds(5000)) == now);
        CPPUNIT_ASSERT(table.departedAt(m_one, milliseconds(0)) == now);
        CPPUNIT_ASSERT(!table.departedAt(m_one, milliseconds(5001)));
        CPPUNIT_ASSERT(!table.departedAt(instance_name{"two"}, milliseconds(0)));
    }

    void keepsTheLatestDepartedStart()
    {
        departures table;
        table.add(departure{m_one, milliseconds(5000)}, now);
        table.add(departure{m_one, milliseconds(2000)}, now + seconds(1));
        CPPUNIT_ASSERT(table.departedAt(m_one, milliseconds(5000)) == now);
        table.add(departure{m_one, milliseconds(8000)}, now + seconds(2));
        CPPUNIT_ASSERT(table.departedAt(m_one, milliseconds(8000)) == now + seconds(2));
    }

    // Guards against a departure that never expires because two processes keep sending it to each
    // other.
    void expiresHoweverOftenItIsReceivedAgain()
    {
        departures node;
        departures source;
        node.add(departure{m_one, milliseconds(5000)}, now);
        core::monotonic_time later = now;
        for (int round = 0; round < 100; ++round) {
            later += seconds(1);
            source.add(node.list(later), later);
            node.add(source.list(later), later);
            node.expire(later);
            source.expire(later);
        }
        CPPUNIT_ASSERT(node.list(later).empty());
        CPPUNIT_ASSERT(source.list(later).empty());
    }

private:
    const instance_name m_one{"one"};
    static constexpr core::monotonic_time now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(departures_test);

} // namespace jackdawweir::fleet
