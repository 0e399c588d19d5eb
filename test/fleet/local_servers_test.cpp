#include "jackdawweir/fleet/local_servers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

class local_servers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(local_servers_test);
    CPPUNIT_TEST(ignoresALateAnnouncementOfAnEarlierStart);
    CPPUNIT_TEST(ignoresALateAnnouncementOfTheSameStart);
    CPPUNIT_TEST(acceptsARestartUnderTheSameName);
    CPPUNIT_TEST(acceptsARestartAfterTheClockWasSetBack);
    CPPUNIT_TEST(keepsAWithdrawnServerDraining);
    CPPUNIT_TEST(drainsAServerThatWithdrewBeforeItAnnouncedItself);
    CPPUNIT_TEST(drainsAServerThatExpiredAfterItsWithdrawal);
    CPPUNIT_TEST(drainsAWithdrawnServerAfterAnotherUsedItsAddress);
    CPPUNIT_TEST(acceptsARestartOfAServerThatWithdrewBeforeItsAnnouncement);
    CPPUNIT_TEST(ignoresAWithdrawalOfAnEarlierStart);
    CPPUNIT_TEST(drainsAServerThatWithdrewFromAnEarlierNodeProcess);
    CPPUNIT_TEST(acceptsARestartUnderTheSameNameAfterTheClockWasSetBack);
    CPPUNIT_TEST(countsTheDepartureOfAServerFirstSeenDrainingAsOld);
    CPPUNIT_TEST(drainsAServerWhoseDrainingAnnouncementArrivesLate);
    CPPUNIT_TEST(ignoresAnAnnouncementThatContradictsTheSameStart);
    CPPUNIT_TEST(ignoresAnUnknownServiceAtTheAddressOfAServer);
    CPPUNIT_TEST(acceptsAServerWhoseKnownAnnouncementWasNotItsOwn);
    CPPUNIT_TEST(removesASilentServer);
    CPPUNIT_TEST(countsDownTheColdTime);
    CPPUNIT_TEST(holdsBackAnAnnouncementUntilTheDeparturesAreKnown);
    CPPUNIT_TEST(listsNoDepartedServerWhoseAnnouncementWasHeldBack);
    CPPUNIT_TEST(acceptsAnAnnouncementThatWasSentAfterTheStart);
    CPPUNIT_TEST(acceptsNoServerWithAnnouncementsThatMayHaveBeenDelayed);
    CPPUNIT_TEST(holdsBackAnEarlierStartOfAKnownServer);
    CPPUNIT_TEST(acceptsAnyAnnouncementOnceDeparturesAreNoLongerKept);
    CPPUNIT_TEST(dropsHeldBackAnnouncementsOnceTheyAreOld);
    CPPUNIT_TEST(holdsBackNoDrainingAnnouncement);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a late announcement that lists a server whose departure is lost with the disk
    // that held it, after its node has started again.
    void holdsBackAnAnnouncementUntilTheDeparturesAreKnown()
    {
        local_servers servers;
        servers.awaitDepartures(now);
        CPPUNIT_ASSERT(servers.announce(announcement("one", milliseconds(1000), 3), now)
                       == announcement_verdict::HeldBack);
        servers.announce(announcement("one", milliseconds(1000), 2), now);
        CPPUNIT_ASSERT(servers.records(now).empty());
        const std::vector<server_announcement> heldBack = servers.departuresRestored(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heldBack.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, heldBack[0].sequence);
        CPPUNIT_ASSERT(servers.announce(heldBack[0], now) == announcement_verdict::Changed);
        CPPUNIT_ASSERT(servers.takesRequests(instance_name{"one"}));
    }

    void listsNoDepartedServerWhoseAnnouncementWasHeldBack()
    {
        local_servers servers;
        servers.awaitDepartures(now);
        servers.announce(announcement("one", milliseconds(1000), 3), now);
        servers.restore({departure{instance_name{"one"}, milliseconds(1000)}}, now);
        for (const server_announcement &each : servers.departuresRestored(now)) {
            servers.announce(each, now);
        }
        CPPUNIT_ASSERT(!servers.takesRequests(instance_name{"one"}));
    }

    // Guards against servers that get no requests for seconds after a source has lost its disk.
    void acceptsAnAnnouncementThatWasSentAfterTheStart()
    {
        local_servers servers;
        servers.awaitDepartures(now);
        servers.announce(announcement("one", milliseconds(1000), 3), now);
        server_announcement sent = announcement("one", milliseconds(1000), 4);
        sent.wasSentAfterNodeStart = true;
        CPPUNIT_ASSERT(servers.announce(sent, now + milliseconds(1))
                       == announcement_verdict::Changed);
        CPPUNIT_ASSERT(servers.takesRequests(instance_name{"one"}));
        CPPUNIT_ASSERT(servers.announce(announcement("one", milliseconds(1000), 5), now)
                       == announcement_verdict::Refreshed);
    }

    // Guards against a departed server that is listed since its last announcements arrive as far
    // apart as they were sent, or long after the start of the node.
    void acceptsNoServerWithAnnouncementsThatMayHaveBeenDelayed()
    {
        local_servers servers;
        servers.awaitDepartures(now);
        std::uint64_t sequence = 0;
        for (const int second : {0, 1, 2, 7, 30, 59}) {
            CPPUNIT_ASSERT(servers.announce(announcement("one", milliseconds(1000), ++sequence),
                                            now + seconds(second))
                           == announcement_verdict::HeldBack);
        }
        CPPUNIT_ASSERT(servers.records(now + seconds(59)).empty());
    }

    // Guards against a late announcement of a departed start that replaces a later start of the
    // same name, which has ended since.
    void holdsBackAnEarlierStartOfAKnownServer()
    {
        local_servers servers;
        servers.awaitDepartures(now);
        server_announcement later = announcement("one", milliseconds(9000), 1);
        later.wasSentAfterNodeStart = true;
        servers.announce(later, now);
        CPPUNIT_ASSERT(
            servers.announce(announcement("one", milliseconds(1000), 8), now + seconds(5))
            == announcement_verdict::HeldBack);
        CPPUNIT_ASSERT(servers.records(now)[0].startedAt == milliseconds(9000));
    }

    // Guards against a server that is never listed while the sources of its data centre are gone.
    void acceptsAnyAnnouncementOnceDeparturesAreNoLongerKept()
    {
        local_servers servers;
        servers.awaitDepartures(now);
        const server_announcement sent = announcement("one", milliseconds(1000), 3);
        const core::monotonic_time end = now + departure_settings().retention;
        CPPUNIT_ASSERT(servers.announce(sent, end - milliseconds(1))
                       == announcement_verdict::HeldBack);
        CPPUNIT_ASSERT(servers.announce(sent, end) == announcement_verdict::Changed);
    }

    // Guards against a server that ended long ago and is listed from an old announcement.
    void dropsHeldBackAnnouncementsOnceTheyAreOld()
    {
        local_servers servers;
        servers.awaitDepartures(now);
        servers.announce(announcement("one", milliseconds(1000), 3), now);
        CPPUNIT_ASSERT(servers.departuresRestored(now + seconds(5)).empty());
    }

    void holdsBackNoDrainingAnnouncement()
    {
        local_servers servers;
        servers.awaitDepartures(now);
        CPPUNIT_ASSERT(servers.announce(leaving("one", milliseconds(1000), 3), now)
                       == announcement_verdict::Changed);
        CPPUNIT_ASSERT(servers.records(now)[0].isDraining);
    }

    static server_announcement
    announcement(const std::string &instance, milliseconds startedAt, std::uint64_t sequence)
    {
        server_announcement made;
        made.server.instance.value = instance;
        made.server.address.value = "10.0.0.1:80";
        made.server.service.value = "stock";
        made.server.slots = 4;
        made.server.startedAt = startedAt;
        made.sequence = sequence;
        return made;
    }

    static server_announcement
    leaving(const std::string &instance, milliseconds startedAt, std::uint64_t sequence)
    {
        server_announcement made = announcement(instance, startedAt, sequence);
        made.server.isDraining = true;
        return made;
    }

    // Guards against a heartbeat that was delayed by a broken link and names a server that has
    // exited.
    void ignoresALateAnnouncementOfAnEarlierStart()
    {
        local_servers servers;
        servers.announce(announcement("old", milliseconds(1000), 3), now);
        servers.announce(announcement("new", milliseconds(9000), 1), now);
        CPPUNIT_ASSERT(servers.announce(announcement("old", milliseconds(1000), 4), now)
                       == announcement_verdict::Outdated);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, servers.records(now).size());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), servers.records(now)[0].instance.value);
    }

    void ignoresALateAnnouncementOfTheSameStart()
    {
        local_servers servers;
        const server_announcement draining = leaving("one", milliseconds(1000), 5);
        servers.announce(draining, now);
        CPPUNIT_ASSERT(servers.announce(announcement("one", milliseconds(1000), 4), now)
                       == announcement_verdict::Outdated);
        CPPUNIT_ASSERT(servers.records(now)[0].isDraining);
    }

    void acceptsARestartUnderTheSameName()
    {
        local_servers servers;
        const server_announcement draining = leaving("one", milliseconds(1000), 50);
        servers.announce(draining, now);
        CPPUNIT_ASSERT(servers.announce(announcement("one", milliseconds(5000), 1), now)
                       == announcement_verdict::Changed);
        CPPUNIT_ASSERT(!servers.records(now)[0].isDraining);
        CPPUNIT_ASSERT(!servers.drainingSince(instance_name{"one"}));
    }

    // Guards against a server that is never listed again because its host's clock was set back.
    void acceptsARestartAfterTheClockWasSetBack()
    {
        local_servers servers;
        servers.announce(announcement("before", milliseconds(9000), 3), now);
        const server_announcement later = announcement("after", milliseconds(2000), 1);
        CPPUNIT_ASSERT(servers.announce(later, now + seconds(1)) == announcement_verdict::Outdated);
        CPPUNIT_ASSERT(servers.announce(later, now + seconds(5)) == announcement_verdict::Changed);
        CPPUNIT_ASSERT_EQUAL(std::string("after"),
                             servers.records(now + seconds(5)).at(0).instance.value);
    }

    void keepsAWithdrawnServerDraining()
    {
        local_servers servers;
        servers.announce(announcement("one", milliseconds(1000), 1), now);
        CPPUNIT_ASSERT(servers.withdraw(withdrawal("one"), now));
        CPPUNIT_ASSERT(servers.records(now)[0].isDraining);
        servers.announce(announcement("one", milliseconds(1000), 2), now + seconds(1));
        CPPUNIT_ASSERT(servers.records(now + seconds(1))[0].isDraining);
        CPPUNIT_ASSERT(servers.drainingSince(instance_name{"one"}) == now);
        CPPUNIT_ASSERT(!servers.withdraw(withdrawal("other"), now));
    }

    // Guards against a departure that is acknowledged but lost because the server was unknown.
    void drainsAServerThatWithdrewBeforeItAnnouncedItself()
    {
        local_servers servers;
        CPPUNIT_ASSERT(!servers.withdraw(withdrawal("one"), now));
        servers.announce(announcement("one", milliseconds(1000), 7), now + seconds(2));
        CPPUNIT_ASSERT(servers.records(now + seconds(2)).at(0).isDraining);
        CPPUNIT_ASSERT(servers.drainingSince(instance_name{"one"}) == now);
    }

    // Guards against a delayed announcement that arrives after its server was removed.
    void drainsAServerThatExpiredAfterItsWithdrawal()
    {
        local_servers servers;
        servers.announce(announcement("one", milliseconds(1000), 1), now);
        servers.withdraw(withdrawal("one"), now);
        CPPUNIT_ASSERT(servers.expire(now + seconds(11)));
        servers.announce(announcement("one", milliseconds(1000), 2), now + seconds(12));
        CPPUNIT_ASSERT(servers.records(now + seconds(12)).at(0).isDraining);
    }

    void drainsAWithdrawnServerAfterAnotherUsedItsAddress()
    {
        local_servers servers;
        servers.announce(announcement("one", milliseconds(9000), 1), now);
        servers.withdraw(withdrawal("one"), now);
        servers.announce(announcement("late", milliseconds(2000), 1), now + seconds(5));
        servers.announce(announcement("one", milliseconds(9000), 2), now + seconds(6));
        CPPUNIT_ASSERT(servers.records(now + seconds(6)).at(0).isDraining);
    }

    // Guards against a restarted server that gets no requests because its earlier process departed.
    void acceptsARestartOfAServerThatWithdrewBeforeItsAnnouncement()
    {
        local_servers servers;
        servers.withdraw(withdrawal("one"), now);
        servers.announce(announcement("one", receivedAt + milliseconds(4000), 1), now + seconds(4));
        CPPUNIT_ASSERT(!servers.records(now + seconds(4)).at(0).isDraining);
    }

    void ignoresAWithdrawalOfAnEarlierStart()
    {
        local_servers servers;
        servers.announce(announcement("one", milliseconds(9000), 1), now);
        server_withdrawal late = withdrawal("one");
        late.startedAt = milliseconds(2000);
        CPPUNIT_ASSERT(!servers.withdraw(late, now));
        CPPUNIT_ASSERT(!servers.records(now).at(0).isDraining);
    }

    // Guards against losing a departure when the node process that acknowledged it ends.
    void drainsAServerThatWithdrewFromAnEarlierNodeProcess()
    {
        local_servers before;
        before.announce(announcement("one", milliseconds(1000), 1), now);
        before.withdraw(withdrawal("one"), now);
        local_servers after;
        after.announce(announcement("one", milliseconds(1000), 2), now + seconds(1));
        const std::vector<departure> departedServers = before.departed(now + seconds(1));
        CPPUNIT_ASSERT(after.restore(departedServers, now + seconds(1)));
        CPPUNIT_ASSERT(after.records(now + seconds(1)).at(0).isDraining);
        CPPUNIT_ASSERT(after.drainingSince(instance_name{"one"}) == now);
        CPPUNIT_ASSERT(!after.restore(departedServers, now + seconds(1)));
    }

    // Guards against a second drain period for a server that departs while its node restarts.
    void countsTheDepartureOfAServerFirstSeenDrainingAsOld()
    {
        local_servers servers;
        const server_announcement draining = leaving("one", milliseconds(1000), 1);
        servers.announce(draining, now);
        CPPUNIT_ASSERT(*servers.drainingSince(instance_name{"one"}) <= now - seconds(5));
        servers.announce(announcement("two", milliseconds(2000), 1), now);
        const server_announcement later = leaving("two", milliseconds(2000), 2);
        servers.announce(later, now + seconds(1));
        CPPUNIT_ASSERT(servers.drainingSince(instance_name{"two"}) == now + seconds(1));
    }

    // Guards against a departure that is acknowledged but ignored because a later announcement
    // arrived first.
    void drainsAServerWhoseDrainingAnnouncementArrivesLate()
    {
        local_servers servers;
        servers.announce(announcement("one", milliseconds(1000), 5), now);
        const server_announcement overtaken = leaving("one", milliseconds(1000), 4);
        CPPUNIT_ASSERT(servers.announce(overtaken, now + seconds(1))
                       == announcement_verdict::Changed);
        CPPUNIT_ASSERT(servers.records(now + seconds(1)).at(0).isDraining);
        CPPUNIT_ASSERT(servers.announce(overtaken, now + seconds(1))
                       == announcement_verdict::Outdated);
    }

    // Guards against a departure that is acknowledged while the server stays listed as ready under
    // a later start time.
    void acceptsARestartUnderTheSameNameAfterTheClockWasSetBack()
    {
        local_servers servers;
        servers.announce(announcement("one", milliseconds(9000), 3), now);
        const server_announcement restarted = leaving("one", milliseconds(2000), 1);
        CPPUNIT_ASSERT(servers.announce(restarted, now + seconds(1))
                       == announcement_verdict::Outdated);
        CPPUNIT_ASSERT(servers.takesRequests(instance_name{"one"}));
        CPPUNIT_ASSERT(servers.announce(restarted, now + seconds(5))
                       == announcement_verdict::Changed);
        CPPUNIT_ASSERT(!servers.takesRequests(instance_name{"one"}));
    }

    // Guards against a server that gets no more requests because another program announced it.
    void ignoresAnAnnouncementThatContradictsTheSameStart()
    {
        local_servers servers;
        const server_announcement own = announcement("one", milliseconds(1000), 1);
        servers.announce(own, now);
        server_announcement otherService = announcement("one", milliseconds(1000), 2);
        otherService.server.service.value = "desk";
        server_announcement otherVersion = announcement("one", milliseconds(1000), 2);
        otherVersion.server.version.value = "v9";
        server_announcement otherAddress = announcement("one", milliseconds(1000), 2);
        otherAddress.server.address.value = "10.0.0.2:80";
        for (const server_announcement &each : {otherService, otherVersion, otherAddress}) {
            CPPUNIT_ASSERT(servers.announce(each, now) == announcement_verdict::Contradictory);
        }
        CPPUNIT_ASSERT(servers.records(now) == std::vector<server_record>{own.server});
    }

    void ignoresAnUnknownServiceAtTheAddressOfAServer()
    {
        local_servers servers;
        const server_announcement own = announcement("one", milliseconds(1000), 1);
        servers.announce(own, now);
        server_announcement unknown = announcement("two", milliseconds(2000), 1);
        unknown.server.service.value = "nowhere";
        unknown.isServiceKnown = false;
        CPPUNIT_ASSERT(servers.announce(unknown, now) == announcement_verdict::Contradictory);
        CPPUNIT_ASSERT(servers.records(now) == std::vector<server_record>{own.server});
        // The address belongs to the server of another service once the first one is silent.
        CPPUNIT_ASSERT(servers.announce(unknown, now + seconds(5))
                       == announcement_verdict::Changed);
    }

    // Guards against announcements that are ignored for good because one with a large sequence
    // number, or with another service, was taken for the server's own.
    void acceptsAServerWhoseKnownAnnouncementWasNotItsOwn()
    {
        local_servers servers;
        servers.announce(announcement("one", milliseconds(1000), 9'000'000'000'000'000), now);
        const server_announcement own = announcement("one", milliseconds(1000), 2);
        CPPUNIT_ASSERT(servers.announce(own, now + seconds(1)) == announcement_verdict::Outdated);
        CPPUNIT_ASSERT(servers.announce(own, now + seconds(5)) == announcement_verdict::Refreshed);
        server_announcement next = announcement("one", milliseconds(1000), 3);
        next.server.service.value = "desk";
        CPPUNIT_ASSERT(servers.announce(next, now + seconds(6))
                       == announcement_verdict::Contradictory);
        CPPUNIT_ASSERT(servers.announce(next, now + seconds(10)) == announcement_verdict::Changed);
    }

    void removesASilentServer()
    {
        local_servers servers;
        servers.announce(announcement("one", milliseconds(1000), 1), now);
        CPPUNIT_ASSERT(!servers.expire(now + seconds(9)));
        CPPUNIT_ASSERT(servers.expire(now + seconds(11)));
        CPPUNIT_ASSERT(servers.records(now + seconds(11)).empty());
    }

    void countsDownTheColdTime()
    {
        local_servers servers;
        server_announcement cold = announcement("one", milliseconds(1000), 1);
        cold.server.coldFor = milliseconds(3000);
        servers.announce(cold, now);
        CPPUNIT_ASSERT(servers.records(now + seconds(1))[0].coldFor == milliseconds(2000));
        CPPUNIT_ASSERT(servers.records(now + seconds(4))[0].coldFor == milliseconds(0));
    }

private:
    static server_withdrawal withdrawal(const std::string &instance)
    {
        return server_withdrawal{instance_name{instance}, std::nullopt, receivedAt};
    }

    static constexpr core::monotonic_time now{seconds(100)};
    // The wall time at which withdrawals are received, after the start of the servers concerned.
    static constexpr milliseconds receivedAt{20'000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(local_servers_test);

} // namespace jackdawweir::fleet
