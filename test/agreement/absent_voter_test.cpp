// Tests that sources accept changes again while voters stay away for good and others, whose disks
// are whole, have started again.

#include <algorithm>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/mesh/replica_timing.h"
#include "support/log_group.h"

namespace jackdawweir::agreement {

using namespace std::chrono_literals;
using mesh::replicaTiming;
using std::chrono::milliseconds;
using test::log_group;
using test::log_group_settings;

namespace {

constexpr std::uint64_t seeds = 20;

// The time within which a change must be acknowledged after the last start of a source: the core
// counts as stable 3 s after it, and a change may then take 4 s.
constexpr milliseconds acceptedAfterStart{7'000};

// The pause of a process that is killed and started again.
constexpr milliseconds restartPause{300};

// The time within which a new group has admitted all of its voters.
constexpr milliseconds formingTime{5'000};

// A group of voters with an acknowledged change. The addresses after the voters' belong to
// successors, whose disks are empty until they start.
class voter_group
{
public:
    voter_group(std::size_t voters, std::size_t successors, std::uint64_t seed)
        : m_group(log_group_settings{voters + successors, seed, true, replicaTiming()})
        , m_seed(seed)
    {
        for (std::size_t index = voters; index < voters + successors; ++index) {
            m_group.stop(index);
        }
        m_group.run(formingTime);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe("voters"), voters, m_group.voters());
        CPPUNIT_ASSERT_MESSAGE(describe("first change"), m_group.commits("first", 1s));
    }

    log_group &sources()
    {
        return m_group;
    }

    std::size_t leader() const
    {
        return m_group.leader().value();
    }

    // Returns the voters that don't lead.
    std::vector<std::size_t> followers(std::size_t voters) const
    {
        std::vector<std::size_t> found;
        for (std::size_t index = 0; index < voters; ++index) {
            if (index != leader()) {
                found.push_back(index);
            }
        }
        return found;
    }

    void killAndRestart(std::size_t index)
    {
        m_group.stop(index);
        m_group.run(restartPause);
        m_group.restart(index);
    }

    // Checks that a change is acknowledged in time and that no acknowledged change is missing.
    void checkAcceptsChanges()
    {
        bool isAccepted = false;
        for (milliseconds passed{0}; passed < acceptedAfterStart && !isAccepted; passed += 200ms) {
            isAccepted = m_group.commits("second", 200ms);
        }
        CPPUNIT_ASSERT_MESSAGE(describe("no change was acknowledged"), isAccepted);
        const std::vector<std::string> &applied = m_group.appliedBy(leader());
        const bool isThere = std::find(applied.begin(), applied.end(), "first") != applied.end();
        CPPUNIT_ASSERT_MESSAGE(describe("an acknowledged change is missing"), isThere);
    }

    std::string describe(const char *what) const
    {
        return std::string(what) + ": seed=" + std::to_string(m_seed);
    }

private:
    log_group m_group;
    std::uint64_t m_seed;
};

} // namespace

class absent_voter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(absent_voter_test);
    CPPUNIT_TEST(acceptsChangesAfterAFollowerRestartedWhileAnotherIsGone);
    CPPUNIT_TEST(acceptsChangesAfterTheLeaderRestartedWhileAnotherIsGone);
    CPPUNIT_TEST(admitsASuccessorAfterARestartBeforeItsStart);
    CPPUNIT_TEST(acceptsChangesAfterARestartBeforeThePromotionOfASuccessor);
    CPPUNIT_TEST(acceptsChangesAfterAllRestartedAndOneIsGone);
    CPPUNIT_TEST(admitsASuccessorAfterAllRestartedAndOneIsGone);
    CPPUNIT_TEST(acceptsChangesAfterAllRestartedAndOneLostItsDisk);
    CPPUNIT_TEST(acceptsChangesOfFiveVotersOfWhichTwoAreGoneAndOneRestarted);
    CPPUNIT_TEST(acceptsChangesAfterTheHolderOfAnUncommittedEntryIsGone);
    CPPUNIT_TEST(neverCountsALostVoterBesideItsSuccessor);
    CPPUNIT_TEST(acceptsChangesAfterASecondLossOnceTheSuccessorIsReady);
    CPPUNIT_TEST(keepsAVoterThatIsSilentForAMomentWhileALearnerJoins);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each of these guards against sources of which more than half run, connected, and which accept
    // no change for good.
    void acceptsChangesAfterAFollowerRestartedWhileAnotherIsGone()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 0, seed);
            const std::vector<std::size_t> followers = group.followers(3);
            group.sources().stop(followers[0]);
            group.sources().run(500ms);
            group.killAndRestart(followers[1]);
            group.checkAcceptsChanges();
        }
    }

    void acceptsChangesAfterTheLeaderRestartedWhileAnotherIsGone()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 0, seed);
            const std::size_t leader = group.leader();
            group.sources().stop(group.followers(3)[0]);
            group.sources().run(5s);
            group.killAndRestart(leader);
            group.checkAcceptsChanges();
        }
    }

    // The successor can be admitted only by a leader, so it can't replace the missing answer.
    void admitsASuccessorAfterARestartBeforeItsStart()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 1, seed);
            const std::vector<std::size_t> followers = group.followers(3);
            group.sources().stop(followers[0]);
            group.sources().run(500ms);
            group.killAndRestart(followers[1]);
            group.sources().run(500ms);
            group.sources().restart(3);
            group.checkAcceptsChanges();
            group.sources().run(5s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                group.describe("voters"), std::size_t{3}, group.sources().voters());
        }
    }

    void acceptsChangesAfterARestartBeforeThePromotionOfASuccessor()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 1, seed);
            const std::vector<std::size_t> followers = group.followers(3);
            group.sources().stop(followers[0]);
            group.sources().run(1s);
            group.sources().restart(3);
            // The successor is admitted or promoted at this time, differently for each seed.
            group.sources().run(log_group::step * static_cast<int>(seed));
            group.killAndRestart(followers[1]);
            group.checkAcceptsChanges();
        }
    }

    void acceptsChangesAfterAllRestartedAndOneIsGone()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 0, seed);
            stopAll(group, 3);
            group.sources().restart(seed % 3);
            group.sources().restart((seed + 1) % 3);
            group.checkAcceptsChanges();
        }
    }

    void admitsASuccessorAfterAllRestartedAndOneIsGone()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 1, seed);
            stopAll(group, 3);
            group.sources().restart(seed % 3);
            group.sources().restart((seed + 1) % 3);
            group.sources().run(1s);
            group.sources().restart(3);
            group.checkAcceptsChanges();
        }
    }

    void acceptsChangesAfterAllRestartedAndOneLostItsDisk()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 0, seed);
            stopAll(group, 3);
            group.sources().diskOf(seed % 3).eraseAll();
            for (const std::size_t index : {0, 1, 2}) {
                group.sources().restart(index);
            }
            group.checkAcceptsChanges();
        }
    }

    void acceptsChangesOfFiveVotersOfWhichTwoAreGoneAndOneRestarted()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(5, 0, seed);
            const std::vector<std::size_t> followers = group.followers(5);
            group.sources().stop(followers[0]);
            group.sources().stop(followers[1]);
            group.killAndRestart(followers[2]);
            group.checkAcceptsChanges();
        }
    }

    // The leader holds an entry that it could not commit and no longer leads. It reports the end of
    // its log to a source that starts again, and is then gone for good. The two that are left lack
    // the entry.
    void acceptsChangesAfterTheHolderOfAnUncommittedEntryIsGone()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 0, seed);
            const std::size_t leader = group.leader();
            const std::vector<std::size_t> followers = group.followers(3);
            group.sources().stop(followers[0]);
            group.sources().stop(followers[1]);
            (void)group.sources().propose("not committed");
            group.sources().run(1s);
            group.sources().restart(followers[0]);
            group.sources().run(log_group::step * 5);
            group.sources().stop(leader);
            group.sources().restart(followers[1]);
            group.checkAcceptsChanges();
        }
    }

    // Guards against four voters of which one is gone for good: the next loss would leave no
    // majority. A new leader doesn't know for how long a voter has been silent, so this could last
    // much longer where the leader changes.
    void neverCountsALostVoterBesideItsSuccessor()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 1, seed);
            group.sources().stop(seed % 2 == 0 ? group.leader() : group.followers(3)[0]);
            group.sources().run(1s);
            group.sources().restart(3);
            for (milliseconds passed{0}; passed < 5s; passed += log_group::step) {
                group.sources().run(log_group::step);
                CPPUNIT_ASSERT_MESSAGE(group.describe("voters"), group.sources().voters() <= 3);
            }
            CPPUNIT_ASSERT_MESSAGE(group.describe("successor"), group.sources().isVoter(3));
        }
    }

    void acceptsChangesAfterASecondLossOnceTheSuccessorIsReady()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 2, seed);
            const std::size_t lost = seed % 2 == 0 ? group.leader() : group.followers(3)[0];
            group.sources().stop(lost);
            group.sources().run(1s);
            group.sources().restart(3);
            group.sources().run(2s);
            const std::vector<std::size_t> others = group.followers(3);
            const std::size_t follower = others[0] == lost ? others[1] : others[0];
            group.sources().stop(seed % 3 == 0 ? group.leader() : follower);
            group.sources().run(1s);
            group.sources().restart(4);
            group.checkAcceptsChanges();
        }
    }

    // Guards against a voter that is removed because its process was paused for a moment just when
    // another source joined.
    void keepsAVoterThatIsSilentForAMomentWhileALearnerJoins()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            voter_group group(3, 1, seed);
            const std::size_t paused = group.followers(3)[0];
            group.sources().stop(paused);
            group.sources().restart(3);
            group.sources().run(restartPause);
            group.sources().restart(paused);
            group.sources().run(5s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                group.describe("voters"), std::size_t{4}, group.sources().voters());
        }
    }

private:
    static void stopAll(voter_group &group, std::size_t voters)
    {
        for (std::size_t index = 0; index < voters; ++index) {
            group.sources().stop(index);
        }
        group.sources().run(500ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(absent_voter_test);

} // namespace jackdawweir::agreement
