// Tests with real processes whose links go silent without an end, while new links work.

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "platform_process/mesh_scenario.h"

namespace jackdawweir::platform_process_test {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using test_clock = std::chrono::steady_clock;

// A host counts as in touch again this long after a disruption.
constexpr seconds inTouchAfter{3};
// A change is in force at hosts in touch this long after its acknowledgement.
constexpr seconds inForceWithin{2};
constexpr seconds observedAfterBound{2};

// Announces a server of each service on the host of node 1.
void announceServers(const mesh_fleet &fleet,
                     const scripted_server &desk,
                     const scripted_server &stock,
                     int sequence)
{
    fleet.announce(1, "i-desk", "desk", desk.address().value, sequence);
    fleet.announce(1, "i-stock", "stock", stock.address().value, sequence);
}

link_selector linksOf(const std::string &process)
{
    return [process](const std::string &from, const std::string &to) {
        return from == process || to == process;
    };
}

} // namespace

class silent_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_link_test);
    CPPUNIT_TEST(appliesAChangeInTimeAfterTheLinksOfANodeHaveGoneSilent);
    CPPUNIT_TEST(appliesAChangeInTimeAfterAllLinksHaveGoneSilent);
    CPPUNIT_TEST(appliesAChangeInTimeAfterLinksAreAcknowledgedAndSilent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a source that answers a node over a link that carries nothing any more.
    void appliesAChangeInTimeAfterTheLinksOfANodeHaveGoneSilent()
    {
        mesh_fleet fleet(41);
        startServing(fleet);
        // No data is under way when the links go silent.
        std::this_thread::sleep_for(seconds(1));
        checkChange(
            fleet, linksOf(fleet.nodeIp(1)), silence_kind::Unacknowledged, milliseconds(2'200));
    }

    // Guards against the same while the sources elect a leader.
    void appliesAChangeInTimeAfterAllLinksHaveGoneSilent()
    {
        mesh_fleet fleet(42);
        startServing(fleet);
        checkChange(
            fleet,
            [](const auto &, const auto &) { return true; },
            silence_kind::Unacknowledged,
            milliseconds(0));
    }

    // Guards against a node that waits for good for the answers of its sources.
    void appliesAChangeInTimeAfterLinksAreAcknowledgedAndSilent()
    {
        mesh_fleet fleet(43);
        startServing(fleet);
        checkChange(fleet, linksOf(fleet.nodeIp(1)), silence_kind::Acknowledged, milliseconds(500));
    }

private:
    void startServing(mesh_fleet &fleet)
    {
        fleet.useProxiesBetweenDataCentres();
        startNodes(fleet);
        announceServers(fleet, m_desk, m_stock, 1);
        awaitBody(fleet, "/stock/1", "from the stock");
    }

    // Silences links, sends a change some time later, and checks that node 1 serves no request by
    // the configuration before once it is bound to the change.
    void checkChange(mesh_fleet &fleet,
                     const link_selector &silenced,
                     silence_kind kind,
                     milliseconds changeAfter)
    {
        fleet.proxies().silence(silenced, kind);
        const auto silentSince = test_clock::now();
        std::this_thread::sleep_for(changeAfter);
        CPPUNIT_ASSERT_EQUAL(200, replaceUntilDecided(fleet, 3, 4, "desk"));
        const auto bound = std::max(test_clock::now() + inForceWithin, silentSince + inTouchAfter);
        for (int sequence = 2; test_clock::now() < bound + observedAfterBound; ++sequence) {
            announceServers(fleet, m_desk, m_stock, sequence);
            const bool isBound = test_clock::now() > bound;
            const call_response response = fleet.request(1, "GET", "/stock/1");
            CPPUNIT_ASSERT(!isBound || response.body != "from the stock");
            std::this_thread::sleep_for(milliseconds(30));
        }
    }

    scripted_server m_desk{{{reply("from the desk"), after_reply::KeepOpen}}};
    scripted_server m_stock{{{reply("from the stock"), after_reply::KeepOpen}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_link_test);

} // namespace jackdawweir::platform_process_test
