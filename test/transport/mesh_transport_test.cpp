#include "jackdawweir/transport/mesh_transport.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::transport {

namespace {

// Two transports on the loopback interface that run on the same thread.
struct transport_pair {
    boost::asio::io_context context;
    core::system_clock_source clock;
    core::hybrid_clock hybridClock;
    std::vector<received_message> received;
    core::endpoint first{"127.0.31.1:17431"};
    core::endpoint second{"127.0.31.2:17431"};
    mesh_transport sender{context, first, clock, hybridClock, [this](received_message message) {
                              received.push_back(std::move(message));
                          }};
    std::optional<mesh_transport> receiver;

    void startReceiver()
    {
        receiver.emplace(context, second, clock, hybridClock, [this](received_message message) {
            received.push_back(std::move(message));
        });
        CPPUNIT_ASSERT(core::isOk(receiver->start()));
    }

    // Runs handlers until `count` messages have arrived. The bound only terminates a failing test.
    void runUntilReceived(std::size_t count)
    {
        const auto bound = clock.monotonicNow() + std::chrono::seconds(20);
        while (received.size() < count && clock.monotonicNow() < bound) {
            context.run_one_for(std::chrono::milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(count, received.size());
    }
};

// An earlier start of the sender, whose host has lost power: it has sent one message, closes
// nothing and does not run any more.
struct link_without_power {
    explicit link_without_power(transport_pair &pair)
        : earlier(context, pair.first, pair.clock, pair.hybridClock, [](const received_message &) {
        })
    {
        earlier.send(pair.second, wire::channel::Membership, "before");
        const auto bound = pair.clock.monotonicNow() + std::chrono::seconds(20);
        while (pair.received.empty() && pair.clock.monotonicNow() < bound) {
            context.poll();
            pair.context.run_one_for(std::chrono::milliseconds(20));
        }
    }

    boost::asio::io_context context;
    mesh_transport earlier;
};

} // namespace

class mesh_transport_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(mesh_transport_test);
    CPPUNIT_TEST(deliversInOrderAndRepliesOverTheSameLink);
    CPPUNIT_TEST(reconnectsAfterPeerRestarts);
    CPPUNIT_TEST(sendsToTheLatestStartOfAPeer);
    CPPUNIT_TEST(closesTheEarlierLinkOfAPeerThatOpensAnother);
    CPPUNIT_TEST(replacesItsOwnLinkToAPeerThatOpensAnother);
    CPPUNIT_TEST(reportsWhyALinkWasLost);
    CPPUNIT_TEST(acceptsLinksOnAnotherAddressThanItsOwn);
    CPPUNIT_TEST(refusesAnAddressInUse);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reordered messages and against replies sent to the wrong peer.
    void deliversInOrderAndRepliesOverTheSameLink()
    {
        transport_pair pair;
        CPPUNIT_ASSERT(core::isOk(pair.sender.start()));
        pair.startReceiver();
        constexpr std::size_t count = 100;
        for (std::size_t index = 0; index < count; ++index) {
            pair.sender.send(pair.second, wire::channel::Membership, std::to_string(index));
        }
        pair.runUntilReceived(count);
        for (std::size_t index = 0; index < count; ++index) {
            CPPUNIT_ASSERT_EQUAL(std::to_string(index), pair.received[index].payload);
            CPPUNIT_ASSERT_EQUAL(pair.first.value, pair.received[index].from.value);
        }
        pair.receiver->send(pair.first, wire::channel::Ledger, "reply");
        pair.runUntilReceived(count + 1);
        CPPUNIT_ASSERT_EQUAL(pair.second.value, pair.received.back().from.value);
    }

    // Guards against a transport that keeps using a connection after its peer has stopped.
    void reconnectsAfterPeerRestarts()
    {
        transport_pair pair;
        CPPUNIT_ASSERT(core::isOk(pair.sender.start()));
        pair.startReceiver();
        pair.sender.send(pair.second, wire::channel::Membership, "before");
        pair.runUntilReceived(1);
        pair.receiver->stop();
        pair.context.poll();
        pair.startReceiver();
        const auto bound = pair.clock.monotonicNow() + std::chrono::seconds(20);
        while (pair.received.size() < 2 && pair.clock.monotonicNow() < bound) {
            pair.sender.send(pair.second, wire::channel::Membership, "after");
            pair.context.run_one_for(std::chrono::milliseconds(20));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("after"), pair.received.back().payload);
    }

    // Guards against replies that are lost over the link of a process that lost its power, which
    // closed no link, after it has started again.
    void sendsToTheLatestStartOfAPeer()
    {
        transport_pair pair;
        pair.startReceiver();
        const link_without_power earlier(pair);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pair.received.size());

        pair.sender.send(pair.second, wire::channel::Membership, "after");
        pair.runUntilReceived(2);
        pair.receiver->send(pair.first, wire::channel::Membership, "reply");
        pair.runUntilReceived(3);
        CPPUNIT_ASSERT_EQUAL(std::string("reply"), pair.received.back().payload);
    }

    // Guards against links that stay open for good, and against requests over them that are never
    // given up.
    void closesTheEarlierLinkOfAPeerThatOpensAnother()
    {
        transport_pair pair;
        pair.startReceiver();
        std::vector<lost_link> lost;
        pair.receiver->onLinkLost([&lost](const lost_link &each) { lost.push_back(each); });
        const link_without_power earlier(pair);
        CPPUNIT_ASSERT(lost.empty());
        pair.sender.send(pair.second, wire::channel::Membership, "after");
        pair.runUntilReceived(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
        CPPUNIT_ASSERT(lost.front().wasConnected);
        CPPUNIT_ASSERT_EQUAL(std::string("after"), pair.received.back().payload);
    }

    // Guards against messages that go on over a link of this process which carries nothing, while
    // its peer has given up the links of before.
    void replacesItsOwnLinkToAPeerThatOpensAnother()
    {
        transport_pair pair;
        CPPUNIT_ASSERT(core::isOk(pair.sender.start()));
        pair.startReceiver();
        // Both open a link, since neither has heard of the other's.
        pair.sender.send(pair.second, wire::channel::Membership, "opens a link");
        pair.receiver->send(pair.first, wire::channel::Membership, "opens a link, too");
        pair.runUntilReceived(2);
        std::vector<lost_link> lost;
        pair.receiver->onLinkLost([&lost](const lost_link &each) { lost.push_back(each); });
        boost::asio::io_context other;
        mesh_transport later(
            other, pair.first, pair.clock, pair.hybridClock, [](const received_message &) {});
        later.send(pair.second, wire::channel::Membership, "opens another");
        const auto bound = pair.clock.monotonicNow() + std::chrono::seconds(20);
        while (pair.received.size() < 3 && pair.clock.monotonicNow() < bound) {
            other.poll();
            pair.context.run_one_for(std::chrono::milliseconds(20));
        }
        const auto opened = [](bool byPeer) {
            return [byPeer](const lost_link &each) {
                return each.wasAccepted == byPeer;
            };
        };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                             std::count_if(lost.begin(), lost.end(), opened(true)));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                             std::count_if(lost.begin(), lost.end(), opened(false)));
    }

    // Guards against lost links that a log cannot tell apart.
    void reportsWhyALinkWasLost()
    {
        transport_pair pair;
        pair.startReceiver();
        std::vector<lost_link> lost;
        pair.receiver->onLinkLost([&lost](const lost_link &each) { lost.push_back(each); });
        pair.sender.send(pair.second, wire::channel::Membership, "before");
        pair.runUntilReceived(1);
        pair.sender.closeLink(pair.second);
        const auto bound = pair.clock.monotonicNow() + std::chrono::seconds(20);
        while (lost.empty() && pair.clock.monotonicNow() < bound) {
            pair.context.run_one_for(std::chrono::milliseconds(20));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
        CPPUNIT_ASSERT_EQUAL(pair.first.value, lost.front().peer.value);
        CPPUNIT_ASSERT(lost.front().wasConnected);
        CPPUNIT_ASSERT(lost.front().wasAccepted);
        CPPUNIT_ASSERT_EQUAL(std::string("End of file"), lost.front().reason);
    }

    // Guards against a process behind a proxy or an address translation that no peer can reach.
    void acceptsLinksOnAnotherAddressThanItsOwn()
    {
        transport_pair pair;
        std::string receivedFrom;
        const core::endpoint advertised{"127.0.31.3:17431"};
        mesh_transport behind(
            pair.context,
            advertised,
            pair.clock,
            pair.hybridClock,
            [&pair](received_message message) { pair.received.push_back(std::move(message)); });
        CPPUNIT_ASSERT(core::isOk(behind.startAt(pair.second)));
        pair.sender.send(pair.second, wire::channel::Membership, "over the listening address");
        pair.runUntilReceived(1);
        CPPUNIT_ASSERT(core::isOk(pair.sender.start()));
        behind.send(pair.first, wire::channel::Membership, "reply");
        pair.runUntilReceived(2);
        CPPUNIT_ASSERT_EQUAL(pair.second.value, pair.received.back().from.value);
    }

    // Guards against two daemons that listen on the same address without an error.
    void refusesAnAddressInUse()
    {
        transport_pair pair;
        pair.startReceiver();
        mesh_transport other(
            pair.context, pair.second, pair.clock, pair.hybridClock, [](const received_message &) {
            });
        const core::status started = other.start();
        CPPUNIT_ASSERT(core::errorIn(started) != nullptr);
        CPPUNIT_ASSERT(core::errorIn(started)->code == core::error_code::Unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(mesh_transport_test);

} // namespace jackdawweir::transport
