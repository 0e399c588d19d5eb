#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

#include "forwarding/dispatcher_fixture.h"

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

class dispatcher_reachability_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatcher_reachability_test);
    CPPUNIT_TEST(usesANodeAgainAfterACutThatFailedItsConnection);
    CPPUNIT_TEST(usesANodeAgainAfterRepeatedCuts);
    CPPUNIT_TEST(reachesANodeThatHasLostThisOneToo);
    CPPUNIT_TEST(sendsNoRequestsToANodeThatDoesNotReply);
    CPPUNIT_TEST(probesNoNodeThatIsNoLongerListed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that never send each other requests again after a short cut: the failed
    // connection made the node unreachable, and no probe followed.
    void usesANodeAgainAfterACutThatFailedItsConnection()
    {
        dispatcher_fixture fixture;
        serveWithOneHost(fixture);
        loseConnection(fixture);
        CPPUNIT_ASSERT(!isServed(fixture));
        awaitProbe(fixture);
        fixture.subject.noteReceived(peer(), fixture.now);
        CPPUNIT_ASSERT(isServed(fixture));
    }

    // Guards against a recovery that works only once.
    void usesANodeAgainAfterRepeatedCuts()
    {
        dispatcher_fixture fixture;
        serveWithOneHost(fixture);
        for (int cut = 0; cut < 5; ++cut) {
            loseConnection(fixture);
            CPPUNIT_ASSERT(!isServed(fixture));
            awaitProbe(fixture);
            fixture.subject.noteReceived(peer(), fixture.now);
            CPPUNIT_ASSERT(isServed(fixture));
        }
    }

    // Guards against two nodes that each wait for a message of the other one.
    void reachesANodeThatHasLostThisOneToo()
    {
        dispatcher_fixture here(1);
        dispatcher_fixture there(2);
        serveWithOneHost(here);
        serveWithOneHost(there);
        loseConnection(here);
        loseConnection(there);
        bool isHereServed = false;
        bool isThereServed = false;
        for (int step = 0; step < 250 && !(isHereServed && isThereServed); ++step) {
            passProbes(here, there);
            passProbes(there, here);
            isHereServed = isServed(here);
            isThereServed = isServed(there);
        }
        CPPUNIT_ASSERT(isHereServed);
        CPPUNIT_ASSERT(isThereServed);
    }

    void sendsNoRequestsToANodeThatDoesNotReply()
    {
        dispatcher_fixture fixture;
        serveWithOneHost(fixture);
        loseConnection(fixture);
        for (int step = 0; step < 500; ++step) {
            fixture.advance(milliseconds(20));
            CPPUNIT_ASSERT(!isServed(fixture));
        }
    }

    // Guards against connection attempts to the addresses of hosts that are gone.
    void probesNoNodeThatIsNoLongerListed()
    {
        dispatcher_fixture fixture;
        serveWithOneHost(fixture);
        loseConnection(fixture);
        fixture.subject.setHosts({}, fixture.now);
        fixture.sent.clear();
        for (int step = 0; step < 500; ++step) {
            fixture.advance(milliseconds(20));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.sent.size());
    }

private:
    static core::endpoint peer()
    {
        return core::endpoint{"host-a:7000"};
    }

    static void serveWithOneHost(dispatcher_fixture &fixture)
    {
        fixture.subject.setView(dispatcher_fixture::view());
        fixture.subject.setHosts({dispatcher_fixture::hostWith("host-a", "a")}, fixture.now);
    }

    // A request is sent, and the connection attempt to its node fails.
    static void loseConnection(dispatcher_fixture &fixture)
    {
        fixture.begin("/lookup/1");
        fixture.subject.linkLost(peer(), false, fixture.now);
    }

    // Returns true if a request is sent to the node; it is answered at once.
    static bool isServed(dispatcher_fixture &fixture)
    {
        const std::size_t before = fixture.forwards().size();
        fixture.begin("/lookup/1");
        if (fixture.forwards().size() == before) {
            return false;
        }
        fixture.answerLast(dispatcher_fixture::answered(200));
        return true;
    }

    static std::size_t probes(const dispatcher_fixture &fixture)
    {
        return static_cast<std::size_t>(
            std::count_if(fixture.sent.begin(), fixture.sent.end(), [](const auto &each) {
                return std::holds_alternative<liveness_probe>(each.body);
            }));
    }

    static void awaitProbe(dispatcher_fixture &fixture)
    {
        const std::size_t before = probes(fixture);
        for (int step = 0; step < 250 && probes(fixture) == before; ++step) {
            fixture.advance(milliseconds(20));
        }
        CPPUNIT_ASSERT(probes(fixture) > before);
    }

    // Passes a tick, and delivers the probes of the sender that it causes.
    static void passProbes(dispatcher_fixture &sender, dispatcher_fixture &receiver)
    {
        const std::size_t before = probes(sender);
        sender.advance(milliseconds(20));
        if (probes(sender) > before) {
            receiver.subject.noteReceived(peer(), receiver.now);
            sender.subject.noteReceived(peer(), sender.now);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_reachability_test);

} // namespace jackdawweir::forwarding
