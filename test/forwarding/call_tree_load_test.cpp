// Runs load through the model of two services and checks how many requests are served and how many
// runs are begun for nothing.

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/call_tree_model.h"

namespace jackdawweir::forwarding {

class call_tree_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_tree_load_test);
    CPPUNIT_TEST(servesAllBelowCapacity);
    CPPUNIT_TEST(beginsFewRunsForNothingUnderOverload);
    CPPUNIT_TEST(servesRunsBeforeDirectRequests);
    CPPUNIT_TEST(usesTheRoomOfTheFullService);
    CPPUNIT_TEST_SUITE_END();

public:
    static call_tree_figures
    play(double ordersPerSecond, double directPerSecond, call_tree_rules rules)
    {
        call_tree_load load;
        load.ordersPerSecond = ordersPerSecond;
        load.directPerSecond = directPerSecond;
        return call_tree_model(load, rules, 5).run();
    }

    // Guards against refusals where there is room. The calls and the direct requests take three
    // quarters of the called service.
    void servesAllBelowCapacity()
    {
        const call_tree_figures shipped = play(200, 50, call_tree_rules::Shipped);
        CPPUNIT_ASSERT(shipped.ordersRefused < 0.01 * shipped.orders);
        CPPUNIT_ASSERT(shipped.runsEndedBadly < 0.01 * shipped.orders);
        CPPUNIT_ASSERT(shipped.directInTarget > 0.97 * shipped.direct);
    }

    // Guards against runs that begin although the service behind them has no room. The calls alone
    // take 1.5 times the capacity of the called service.
    void beginsFewRunsForNothingUnderOverload()
    {
        const call_tree_figures previous = play(600, 50, call_tree_rules::Previous);
        const call_tree_figures shipped = play(600, 50, call_tree_rules::Shipped);
        CPPUNIT_ASSERT(shipped.runsEndedBadly < 0.3 * previous.runsEndedBadly);
        CPPUNIT_ASSERT(shipped.runsEndedBadly < 0.08 * shipped.orders);
        CPPUNIT_ASSERT(shipped.ordersInTarget > previous.ordersInTarget);
    }

    // Guards against new work that takes the room which runs that have begun need. The calls take
    // half of the called service, the direct requests three quarters.
    void servesRunsBeforeDirectRequests()
    {
        const call_tree_figures shipped = play(300, 150, call_tree_rules::Shipped);
        CPPUNIT_ASSERT(shipped.ordersInTarget > 0.98 * shipped.orders);
        CPPUNIT_ASSERT(shipped.runsEndedBadly < 0.01 * shipped.orders);
    }

    // Guards against a share that falls further than the room requires. The service has room for
    // two thirds of the orders.
    void usesTheRoomOfTheFullService()
    {
        const call_tree_figures shipped = play(600, 20, call_tree_rules::Shipped);
        CPPUNIT_ASSERT(shipped.ordersInTarget > 0.58 * shipped.orders);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_tree_load_test);

} // namespace jackdawweir::forwarding
