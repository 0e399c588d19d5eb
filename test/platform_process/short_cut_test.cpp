// Tests with real processes that a host which was cut off for a short time gets requests again.

#include <chrono>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using test_clock = std::chrono::steady_clock;

// Shorter than the time after which the sources remove a host without reports, so that the host
// stays listed.
constexpr milliseconds cutTime{1'500};
// Several probes of a node that does not respond.
constexpr seconds servedAgainWithin{8};

} // namespace

class short_cut_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(short_cut_test);
    CPPUNIT_TEST(usesAHostAgainThatWasCutOff);
    CPPUNIT_TEST(usesAHostAgainThatWasCutOffSeveralTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a node that sends a peer no requests for good after a connection to it was
    // refused once.
    void usesAHostAgainThatWasCutOff()
    {
        mesh_fleet fleet(51);
        startServing(fleet);
        cutOffStock(fleet);
        awaitStock(fleet);
    }

    // Guards against the same where the cuts follow each other.
    void usesAHostAgainThatWasCutOffSeveralTimes()
    {
        mesh_fleet fleet(52);
        startServing(fleet);
        for (int cut = 0; cut < 3; ++cut) {
            cutOffStock(fleet);
            std::this_thread::sleep_for(milliseconds(700));
        }
        awaitStock(fleet);
    }

private:
    void startServing(mesh_fleet &fleet)
    {
        fleet.useProxiesBetweenDataCentres();
        serve(fleet, m_desk, m_stock);
        awaitBody(fleet, "/stock/1", "from the stock");
    }

    // Cuts off the host of the server "stock" while its requests go on at the other host.
    static void cutOffStock(mesh_fleet &fleet)
    {
        fleet.proxies().refuse(fleet.nodeIp(2));
        const auto end = test_clock::now() + cutTime;
        while (test_clock::now() < end) {
            fleet.request(1, "GET", "/stock/1");
            std::this_thread::sleep_for(milliseconds(30));
        }
        fleet.proxies().accept(fleet.nodeIp(2));
    }

    void awaitStock(const mesh_fleet &fleet) const
    {
        int sequence = 2;
        CPPUNIT_ASSERT(waitUntil(servedAgainWithin, [&] {
            fleet.announce(2, "i-stock", "stock", m_stock.address().value, sequence++);
            return fleet.request(1, "GET", "/stock/1").body == "from the stock";
        }));
    }

    scripted_server m_desk{{{reply("from the desk"), after_reply::KeepOpen}}};
    scripted_server m_stock{{{reply("from the stock"), after_reply::KeepOpen}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(short_cut_test);

} // namespace jackdawweir::platform_process_test
