#include "agreement/driven_replica.h"

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/agreement/replica_store.h"
#include "jackdawweir/storage/memory_store.h"

namespace jackdawweir::agreement {

namespace {

constexpr replica_id fourth{4};

stored_state fourVoters()
{
    stored_state stored = storedLog(2, {});
    membership members = threeVoters();
    members.members.push_back(member{fourth, core::endpoint{"10.0.0.4:1"}, member_role::Voter});
    stored.entries[0].payload = wire::encodeValue(members);
    return stored;
}

// Writes a batch, of which a power loss before the sync keeps only the first bytes, and returns
// what the next start reads.
stored_state
afterPowerLoss(storage::memory_disk &disk, const persist &batch, std::size_t unsyncedKept)
{
    auto files = storage::openMemoryStore(disk);
    auto opened = replica_store::open(*files);
    CPPUNIT_ASSERT(core::isOk(opened));
    CPPUNIT_ASSERT(core::isOk(core::valueIn(opened)->write(batch)));
    std::get<0>(opened).reset();
    files.reset();
    disk.crash(unsyncedKept);
    files = storage::openMemoryStore(disk);
    opened = replica_store::open(*files);
    CPPUNIT_ASSERT(core::isOk(opened));
    return core::valueIn(opened)->takeStored();
}

} // namespace

class restart_and_removal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_and_removal_test);
    CPPUNIT_TEST(appliesCommittedEntriesAtStart);
    CPPUNIT_TEST(appliesOnlyEntriesKnownCommitted);
    CPPUNIT_TEST(appliesNoReplacedEntryAfterATornWrite);
    CPPUNIT_TEST(recordsTheCommitIndex);
    CPPUNIT_TEST(removesUnreachableVoter);
    CPPUNIT_TEST(keepsUnreachableVoterWhileFewAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that, after a power loss, get no configuration until an election,
    // although it was committed long before.
    void appliesCommittedEntriesAtStart()
    {
        stored_state stored = storedLog(2, {2, 2});
        stored.hard.committed = 2;
        driven_replica driven(stored);
        const auto committed = driven.lastEffect<committed_entries>();
        CPPUNIT_ASSERT(committed.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, committed->entries.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, committed->entries.back().index);
    }

    void appliesOnlyEntriesKnownCommitted()
    {
        stored_state beyond = storedLog(2, {2});
        beyond.hard.committed = 9;
        driven_replica bounded(beyond);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, bounded.machine().commitIndex());
        driven_replica unknown(storedLog(2, {2}));
        CPPUNIT_ASSERT(!unknown.lastEffect<committed_entries>());
    }

    // Guards against a configuration that lost its race and is in force after a power loss, since
    // the commit index reached the disk before the entries that replace it.
    void appliesNoReplacedEntryAfterATornWrite()
    {
        const stored_state stored = storedLog(2, {2});
        const auto driven = driven_replica::ready(stored);
        driven->setSyncing(false);
        append_request request;
        request.previous = log_position{1, 1};
        request.entries.push_back(entry{4, 2, entry_kind::Command, "replacement"});
        request.commitIndex = 2;
        driven->receive(third, 4, request);
        const persist batch = driven->lastEffect<persist>().value();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, driven->machine().commitIndex());
        constexpr std::size_t moreThanTheBatch = 1000;
        for (std::size_t kept = 0; kept < moreThanTheBatch; ++kept) {
            storage::memory_disk disk;
            afterPowerLoss(
                disk, persist{1, stored.hard, stored.entries, std::nullopt}, moreThanTheBatch);
            driven_replica restarted(afterPowerLoss(disk, batch, kept));
            for (const entry &each :
                 restarted.lastEffect<committed_entries>().value_or(committed_entries()).entries) {
                CPPUNIT_ASSERT(each.index != 2 || each == request.entries.front());
            }
        }
    }

    void recordsTheCommitIndex()
    {
        const auto driven = driven_replica::ready(storedLog(2, {}));
        driven->becomeLeader();
        driven->acknowledge(second, 2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, driven->machine().commitIndex());
        driven->clearEffects();
        driven->wait(300ms);
        const auto written = driven->lastEffect<persist>();
        CPPUNIT_ASSERT(written && written->hard);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, written->hard->committed);
    }

    // Guards against hosts that have failed permanently but still count towards the quorum, so that
    // the next loss leaves no majority.
    void removesUnreachableVoter()
    {
        driven_replica driven(fourVoters(), 2000ms);
        elect(driven);
        answerFor(driven, 1800ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, driven.machine().members().voters().size());
        answerFor(driven, 600ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, driven.machine().members().voters().size());
        CPPUNIT_ASSERT(driven.machine().members().wasRemoved(fourth));
    }

    void keepsUnreachableVoterWhileFewAnswer()
    {
        const auto driven = std::make_unique<driven_replica>(storedLog(2, {}), 2000ms);
        driven->confirmStart(2, log_position{1, 1});
        driven->becomeLeader();
        for (int step = 0; step < 40; ++step) {
            driven->acknowledge(second, driven->machine().lastPosition().index);
            driven->wait(100ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, driven->machine().members().voters().size());
    }

private:
    static void elect(driven_replica &driven)
    {
        for (const replica_id peer : {second, third}) {
            boot_reply reply;
            reply.nonce = driven.nonce();
            reply.last = log_position{1, 1};
            reply.membershipIndex = 1;
            reply.members = driven.machine().members();
            driven.receive(peer, 2, reply);
        }
        driven.wait(1300ms);
        for (const bool isPreVote : {true, false}) {
            for (const replica_id peer : {second, third}) {
                vote_reply granted;
                granted.isPreVote = isPreVote;
                granted.isGranted = true;
                granted.requestTerm = driven.machine().term() + (isPreVote ? 1 : 0);
                driven.receive(peer, driven.machine().term(), granted);
            }
        }
        CPPUNIT_ASSERT(driven.machine().role() == replica_role::Leader);
    }

    // Acknowledges all entries as two peers for a duration.
    static void answerFor(driven_replica &driven, std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration; passed += 100ms) {
            driven.acknowledge(second, driven.machine().lastPosition().index);
            driven.acknowledge(third, driven.machine().lastPosition().index);
            driven.wait(100ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restart_and_removal_test);

} // namespace jackdawweir::agreement
