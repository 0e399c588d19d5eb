#include "jackdawweir/forwarding/cold_ramp.h"

#include <algorithm>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::forwarding {

using std::chrono::microseconds;
using std::chrono::seconds;

class cold_ramp_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_ramp_test);
    CPPUNIT_TEST(delaysNothingWithoutARate);
    CPPUNIT_TEST(spreadsTheNodesOverTheRateOfTheServer);
    CPPUNIT_TEST(ordersTheServersDifferentlyForEachNode);
    CPPUNIT_TEST_SUITE_END();

public:
    static microseconds delayOf(int host, int server, std::size_t callers, double rate)
    {
        return firstContactDelay(core::host_name{"host-" + std::to_string(host)},
                                 fleet::instance_name{"server-" + std::to_string(server)},
                                 callers,
                                 rate);
    }

    void delaysNothingWithoutARate()
    {
        CPPUNIT_ASSERT(delayOf(1, 1, 100, 0) == microseconds(0));
    }

    // The load: 240 nodes learn at once that a server is back that takes 12 requests a second.
    void spreadsTheNodesOverTheRateOfTheServer()
    {
        constexpr std::size_t nodes = 240;
        constexpr double rate = 12;
        std::vector<int> perSecond(20);
        for (int host = 0; host < static_cast<int>(nodes); ++host) {
            const microseconds delay = delayOf(host, 7, nodes, rate);
            CPPUNIT_ASSERT(delay >= microseconds(0) && delay < seconds(20));
            ++perSecond.at(static_cast<std::size_t>(delay / seconds(1)));
        }
        CPPUNIT_ASSERT(*std::max_element(perSecond.begin(), perSecond.end()) <= 2 * rate);
    }

    // Guards against nodes that all begin with the same server.
    void ordersTheServersDifferentlyForEachNode()
    {
        CPPUNIT_ASSERT(delayOf(1, 1, 100, 12) != delayOf(1, 2, 100, 12));
        CPPUNIT_ASSERT(delayOf(1, 1, 100, 12) != delayOf(2, 1, 100, 12));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_ramp_test);

} // namespace jackdawweir::forwarding
