#include "agreement/driven_replica.h"

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::agreement {

class replica_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(commitsEarlierTermsOnlyWithOwnEntry);
    CPPUNIT_TEST(losesLeaseBeforeElectionTimeout);
    CPPUNIT_TEST(stepsDownWithoutMajority);
    CPPUNIT_TEST(refusesReadBeforeCommitInOwnTerm);
    CPPUNIT_TEST(refusesVoteWhileLeaderIsHeard);
    CPPUNIT_TEST(refusesVoteRightAfterStart);
    CPPUNIT_TEST(returnsFromIsolationWithoutRaisingTerm);
    CPPUNIT_TEST(votesOncePerTerm);
    CPPUNIT_TEST(respondsOnlyAfterSync);
    CPPUNIT_TEST(stopsAfterFailedSync);
    CPPUNIT_TEST(asksForSnapshotOfLargeLog);
    CPPUNIT_TEST(syncsVoteInKnownTerm);
    CPPUNIT_TEST(countsNoReplacedEntryAsSynced);
    CPPUNIT_TEST(changesOneMemberAtATime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against counting an entry of an earlier term as committed, which a later leader may
    // still replace.
    void commitsEarlierTermsOnlyWithOwnEntry()
    {
        const auto driven = driven_replica::ready(storedLog(2, {2}));
        driven->becomeLeader();
        driven->acknowledge(second, 2);
        CPPUNIT_ASSERT(!driven->lastEffect<committed_entries>());
        driven->acknowledge(second, 3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, driven->machine().commitIndex());
    }

    // Guards against an isolated leader that accepts a change when another leader may already be
    // elected.
    void losesLeaseBeforeElectionTimeout()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->becomeLeader();
        CPPUNIT_ASSERT(!driven->machine().hasLease(driven->now()));
        driven->acknowledge(second, 2);
        CPPUNIT_ASSERT(driven->machine().hasLease(driven->now()));
        driven->wait(460ms);
        CPPUNIT_ASSERT(!driven->machine().hasLease(driven->now()));
        driven->propose();
        CPPUNIT_ASSERT(!driven->lastEffect<proposal_appended>());
        CPPUNIT_ASSERT(driven->lastEffect<proposal_refused>()->reason.code
                       == core::error_code::NotLeader);
    }

    // Guards against an unreachable leader that does not step down and is still reported as leader.
    void stepsDownWithoutMajority()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->becomeLeader();
        driven->acknowledge(second, 2);
        driven->wait(640ms);
        CPPUNIT_ASSERT(driven->machine().role() != replica_role::Leader);
    }

    // Guards against a confirmed read that misses commits of an earlier leader.
    void refusesReadBeforeCommitInOwnTerm()
    {
        const auto driven = driven_replica::ready(storedLog(2, {2}));
        driven->becomeLeader();
        driven->acknowledge(second, 2);
        const effects early = driven->machine().confirmRead(1, driven->now());
        CPPUNIT_ASSERT(std::holds_alternative<read_refused>(early.front()));
        driven->acknowledge(second, 3);
        const effects late = driven->machine().confirmRead(2, driven->now());
        CPPUNIT_ASSERT(std::holds_alternative<read_confirmed>(late.front()));
    }

    // Guards against electing a second leader while the first one holds its lease.
    void refusesVoteWhileLeaderIsHeard()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->wait(1300ms);
        append_request heartbeat;
        heartbeat.previous = log_position{1, 1};
        driven->receive(second, 2, heartbeat);
        CPPUNIT_ASSERT(!driven->grants(third, 3, log_position{1, 1}));
        CPPUNIT_ASSERT(!driven->grants(third, 2, log_position{1, 1}, true));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, driven->machine().term());
        driven->wait(600ms);
        CPPUNIT_ASSERT(driven->grants(third, 2, log_position{1, 1}, true));
        CPPUNIT_ASSERT(driven->grants(third, 9, log_position{1, 1}));
    }

    // Guards against a vote by a restarted replica whose last reply still supports a leader's
    // lease.
    void refusesVoteRightAfterStart()
    {
        driven_replica driven(storedLog(2, {}));
        driven.confirmStart(2, log_position{1, 1});
        CPPUNIT_ASSERT(!driven.grants(third, 3, log_position{1, 1}));
        driven.wait(600ms);
        CPPUNIT_ASSERT(driven.grants(third, 4, log_position{1, 1}));
    }

    // Guards against a replica that deposes a working leader when it returns from a network
    // partition.
    void returnsFromIsolationWithoutRaisingTerm()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->wait(10s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, driven->machine().term());
    }

    // Guards against two leaders of one term.
    void votesOncePerTerm()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->wait(620ms);
        CPPUNIT_ASSERT(driven->grants(second, 5, log_position{1, 1}));
        CPPUNIT_ASSERT(!driven->grants(third, 5, log_position{9, 9}));
        CPPUNIT_ASSERT(driven->grants(second, 5, log_position{1, 1}));
    }

    // Guards against sending a vote or an acknowledgement that a crash can still lose.
    void respondsOnlyAfterSync()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->wait(620ms);
        driven->setSyncing(false);
        CPPUNIT_ASSERT(!driven->grants(second, 5, log_position{1, 1}));
        CPPUNIT_ASSERT(driven->lastEffect<persist>()->hard->vote == second);
        driven->setSyncing(true);
        CPPUNIT_ASSERT(driven->grants(second, 5, log_position{1, 1}));

        driven->clearEffects();
        driven->setSyncing(false);
        append_request request;
        request.previous = log_position{1, 1};
        request.entries.push_back(entry{5, 2, entry_kind::Command, "command"});
        driven->receive(second, 5, request);
        CPPUNIT_ASSERT(!driven->lastSent<append_reply>(second));
        request.entries.clear();
        request.previous = log_position{5, 2};
        driven->receive(second, 5, request);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, driven->lastSent<append_reply>(second)->matchIndex);
    }

    // Guards against a replica that votes or accepts entries although its disk is full or broken.
    void stopsAfterFailedSync()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->becomeLeader();
        driven->acknowledge(second, 2);
        driven->failSync();
        CPPUNIT_ASSERT(driven->machine().role() == replica_role::Stopped);
        driven->propose();
        CPPUNIT_ASSERT(!driven->lastEffect<proposal_appended>());
        CPPUNIT_ASSERT(!driven->grants(third, 9, log_position{9, 9}));
    }

    // Guards against a log of a few large documents that exceeds the memory of a small host.
    void asksForSnapshotOfLargeLog()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->becomeLeader();
        driven->acknowledge(second, 2);
        driven->propose();
        driven->acknowledge(second, 3);
        CPPUNIT_ASSERT(!driven->lastEffect<snapshot_wanted>());
        driven->propose(std::string(replica_settings().bytesBeforeSnapshot, 'x'));
        driven->acknowledge(second, 4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, driven->lastEffect<snapshot_wanted>()->index);
    }

    // Guards against a vote that is not synced because its term is already stored.
    void syncsVoteInKnownTerm()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->wait(620ms);
        CPPUNIT_ASSERT(!driven->grants(third, 5, log_position{0, 0}));
        CPPUNIT_ASSERT(driven->grants(second, 5, log_position{1, 1}));
        CPPUNIT_ASSERT(driven->lastEffect<persist>().value().hard->vote == second);
    }

    // Guards against acknowledging an unsynced entry because the entry that it replaces was synced.
    void countsNoReplacedEntryAsSynced()
    {
        const auto driven = driven_replica::ready(storedLog(2, {2}));
        driven->receive(third, 4, append_request{{}, log_position{1, 1}, {}, 0, {}});
        driven->setSyncing(false);
        append_request request;
        request.previous = log_position{1, 1};
        request.entries.push_back(entry{4, 2, entry_kind::Command, "other"});
        driven->receive(third, 4, request);
        driven->clearEffects();
        driven->receive(third, 4, append_request{{}, log_position{4, 2}, {}, 0, {}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             driven->lastSent<append_reply>(third).value().matchIndex);
    }

    // Guards against two majorities that do not overlap: a change must wait for a commit in the
    // leader's term and for the commit of the previous change.
    void changesOneMemberAtATime()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->receive(second, 2, append_request{{}, log_position{1, 1}, {}, 1, {}});
        driven->becomeLeader();
        driven->acknowledge(second, 1);
        boot_notice notice;
        notice.nonce = 77;
        driven->receiveFromNew(replica_id{8}, third, notice);
        driven->wait(40ms);
        CPPUNIT_ASSERT(driven->machine().members() == threeVoters());
        driven->acknowledge(second, 2);
        driven->wait(40ms);
        CPPUNIT_ASSERT(driven->machine().members().find(replica_id{8}) != nullptr);
        driven->receiveFromNew(replica_id{9}, third, notice);
        driven->wait(40ms);
        CPPUNIT_ASSERT(driven->machine().members().find(replica_id{9}) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);

} // namespace jackdawweir::agreement
