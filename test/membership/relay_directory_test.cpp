#include "jackdawweir/membership/node_agent.h"
#include "jackdawweir/membership/relay_directory.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::membership {

using namespace std::chrono_literals;

namespace {

const core::monotonic_time start{1h};
const core::endpoint nodeAddress{"node"};
const core::host_name nodeHost{"node"};

backend_server serverOf(std::uint64_t incarnation)
{
    backend_server server;
    server.address.value = "server";
    server.host = nodeHost;
    server.service.value = "quotes";
    server.incarnation = incarnation;
    server.state = server_state::Ready;
    return server;
}

relay_directory makeRelay()
{
    return relay_directory(core::valueIn(settings_builder()
                                             .ownHost("relay")
                                             .dataCentre("dc")
                                             .ownEndpoint("relay")
                                             .incarnation(1)
                                             .addRelay("relay")
                                             .build()));
}

node_update
updateOf(std::uint64_t node, std::uint64_t sequence, std::vector<backend_server> servers)
{
    return node_update{nodeHost, node, sequence, std::move(servers), {}, {}};
}

node_heartbeat
heartbeatOf(std::uint64_t node, std::uint64_t sequence, std::uint64_t heartbeatNumber)
{
    return node_heartbeat{nodeHost, node, sequence, heartbeatNumber, false};
}

} // namespace

class relay_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_directory_test);
    CPPUNIT_TEST(lateUpdateChangesNothing);
    CPPUNIT_TEST(repeatedHeartbeatRenewsNothing);
    CPPUNIT_TEST(heartbeatWithUnknownSequenceRenewsNothing);
    CPPUNIT_TEST(nodeThatLeftStaysOutUntilItsNextStart);
    CPPUNIT_TEST(lateChangesDoNotUndoLaterOnes);
    CPPUNIT_TEST(snapshotOfAnotherRelayTakesItsConfirmationTime);
    CPPUNIT_TEST(nodeSendsUpdateAgainUntilAcknowledged);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a reordered update, or one of an earlier incarnation of the node, that removes
    // or restores a server.
    void lateUpdateChangesNothing()
    {
        relay_directory tested = makeRelay();
        tested.handle(nodeAddress, updateOf(2, 5, {serverOf(7)}), start);
        tested.handle(nodeAddress, updateOf(2, 4, {}), start);
        tested.handle(nodeAddress, updateOf(1, 9, {}), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.ownServers().servers().size());
        tested.handle(nodeAddress, updateOf(2, 6, {}), start);
        tested.handle(nodeAddress, updateOf(2, 5, {serverOf(7)}), start);
        CPPUNIT_ASSERT(tested.ownServers().servers().empty());
    }

    // Guards against a lease of a crashed node that is renewed by duplicates of its last heartbeat.
    void repeatedHeartbeatRenewsNothing()
    {
        relay_directory tested = makeRelay();
        tested.handle(nodeAddress, updateOf(1, 1, {serverOf(7)}), start);
        tested.handle(nodeAddress, heartbeatOf(1, 1, 1), start);
        tested.handle(nodeAddress, heartbeatOf(1, 1, 1), start + 1s);
        tested.tick(start + leaseDuration);
        CPPUNIT_ASSERT(tested.ownServers().servers().empty());
        tested.handle(nodeAddress, heartbeatOf(1, 1, 2), start + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.ownServers().servers().size());
    }

    // Guards against a withdrawn server that stays listed because the update was lost while the
    // node's heartbeats still arrive.
    void heartbeatWithUnknownSequenceRenewsNothing()
    {
        relay_directory tested = makeRelay();
        tested.handle(nodeAddress, updateOf(1, 1, {serverOf(7)}), start);
        const effects wanted = tested.handle(nodeAddress, heartbeatOf(1, 2, 1), start + 1s);
        const auto &reply = std::get<send_message>(wanted.at(0)).body;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, std::get<node_acknowledgement>(reply).sequence);
        tested.tick(start + leaseDuration);
        CPPUNIT_ASSERT(tested.ownServers().servers().empty());
    }

    // Guards against a node that shut down and is restored by a reordered message.
    void nodeThatLeftStaysOutUntilItsNextStart()
    {
        relay_directory tested = makeRelay();
        tested.handle(nodeAddress, updateOf(1, 1, {serverOf(7)}), start);
        tested.handle(nodeAddress, node_heartbeat{nodeHost, 1, 1, 2, true}, start);
        CPPUNIT_ASSERT(tested.ownServers().servers().empty());
        tested.handle(nodeAddress, updateOf(1, 2, {serverOf(7)}), start);
        tested.handle(nodeAddress, heartbeatOf(1, 1, 3), start);
        CPPUNIT_ASSERT(tested.ownServers().servers().empty());
        tested.handle(nodeAddress, updateOf(2, 1, {serverOf(8)}), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.ownServers().servers().size());
    }

    // Guards against a removed server that is restored by a change that was sent earlier and
    // arrives later.
    void lateChangesDoNotUndoLaterOnes()
    {
        const core::endpoint relay{"relay"};
        const core::data_centre_name dataCentre{"dc"};
        view_follower tested({relay}, nodeHost, 1);
        tested.tick(start);
        const view_digest state{dataCentre, core::digest{1, 1}, {}, {}};
        tested.handle(relay, view_summary{1, 9, 3, {state}}, start);
        tested.handle(relay, view_snapshot{1, 9, 3, dataCentre, {}, {}}, start);
        const view_changes added{1, 9, 4, dataCentre, {serverOf(7)}, {}, {}};
        tested.handle(
            relay, view_changes{1, 9, 5, dataCentre, {}, {serverOf(7).address}, {}}, start);
        tested.handle(relay, added, start);
        CPPUNIT_ASSERT(tested.tableOf(dataCentre)->servers().empty());
        tested.handle(relay, view_changes{1, 9, 6, dataCentre, {serverOf(7)}, {}, {}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.tableOf(dataCentre)->servers().size());
    }

    // Guards against a server that stays listed after a switch of relay because the former relay
    // had confirmed the state of its data centre later than the relay that the copy now comes
    // from.
    void snapshotOfAnotherRelayTakesItsConfirmationTime()
    {
        const core::endpoint first{"relay-1"};
        const core::endpoint second{"relay-2"};
        const core::data_centre_name dataCentre{"dc"};
        view_follower tested({first, second}, nodeHost, 1);
        tested.tick(start);
        const auto receiveView = [&](const core::endpoint &relay,
                                     std::chrono::milliseconds age,
                                     core::monotonic_time now) {
            const view_digest state{dataCentre, core::digest{1, 1}, age, {}};
            tested.handle(relay, view_summary{1, 9, 3, {state}}, now);
            tested.handle(relay, view_snapshot{1, 9, 3, dataCentre, {serverOf(7)}, {}}, now);
        };
        receiveView(first, 0ms, start);
        const core::monotonic_time later = start + viewTimeout;
        tested.tick(later);
        receiveView(second, 2000ms, later);
        CPPUNIT_ASSERT(tested.lastConfirmedAt(dataCentre) == later - 2000ms);
    }

    // Guards against a change that is delayed until the next heartbeat after its message was lost.
    void nodeSendsUpdateAgainUntilAcknowledged()
    {
        const core::endpoint relay{"relay"};
        node_agent tested(core::valueIn(settings_builder()
                                            .ownHost("node")
                                            .dataCentre("dc")
                                            .ownEndpoint("node")
                                            .incarnation(4)
                                            .addRelay("relay")
                                            .build()));
        const auto updatesIn = [](const effects &wanted) {
            return std::count_if(wanted.begin(), wanted.end(), [](const effect &each) {
                const auto *sent = std::get_if<send_message>(&each);
                return sent != nullptr && std::holds_alternative<node_update>(sent->body);
            });
        };
        CPPUNIT_ASSERT(updatesIn(tested.announce(serverOf(7), start)) == 1);
        CPPUNIT_ASSERT(updatesIn(tested.tick(start + retryInterval - 1ms)) == 0);
        CPPUNIT_ASSERT(updatesIn(tested.tick(start + retryInterval)) == 1);
        tested.handle(relay, node_acknowledgement{4, 2}, start + retryInterval);
        CPPUNIT_ASSERT(updatesIn(tested.tick(start + 2 * retryInterval)) == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_directory_test);

} // namespace jackdawweir::membership
