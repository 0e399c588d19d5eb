// Tests that sources accept changes again soon after their disks were full, one after another.

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
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

constexpr std::uint64_t seeds = 40;
constexpr unsigned rounds = 3;

// The time after which an operator's change must be acknowledged.
constexpr milliseconds ackTimeout{4'000};

// An operator that sends changes one after another. A change without an answer within a second is
// given up, as a client of the sources does.
class operator_calls
{
public:
    explicit operator_calls(log_group &group)
        : m_group(group)
    {
    }

    // Sends changes for this long. Returns how many were acknowledged.
    std::size_t send(milliseconds duration)
    {
        const std::size_t before = m_acknowledged.size();
        for (milliseconds passed{0}; passed < duration; passed += callInterval) {
            (void)sendOne();
        }
        return m_acknowledged.size() - before;
    }

    // Returns whether a change is acknowledged within the time.
    bool isAcceptedWithin(milliseconds limit)
    {
        for (milliseconds passed{0}; passed < limit; passed += callInterval) {
            if (sendOne()) {
                return true;
            }
        }
        return false;
    }

    const std::vector<std::string> &acknowledged() const
    {
        return m_acknowledged;
    }

private:
    static constexpr milliseconds callInterval{200};

    bool sendOne()
    {
        const std::string change = "change " + std::to_string(++m_lastNumber);
        if (m_group.voters() < 3) {
            m_group.run(callInterval);
            return false;
        }
        const bool isAccepted = m_group.commits(change, callInterval);
        if (isAccepted) {
            m_acknowledged.push_back(change);
        }
        return isAccepted;
    }

    log_group &m_group;
    std::vector<std::string> m_acknowledged;
    unsigned m_lastNumber = 0;
};

struct full_disk_case {
    std::size_t sources = 3;
    std::uint64_t seed = 1;
    // How long each disk is full, and the pause until the next one is.
    milliseconds full{3'000};
    milliseconds pause{0};
    // The bytes that each disk still takes.
    std::size_t freeBytes = 0;
    // The first source ends for good just before the disk of the next one is full.
    bool firstLeaves = false;
};

std::string describe(const full_disk_case &filled, const char *what)
{
    return std::string(what) + ": sources=" + std::to_string(filled.sources) + " seed="
        + std::to_string(filled.seed) + " full=" + std::to_string(filled.full.count()) + "ms pause="
        + std::to_string(filled.pause.count()) + "ms free=" + std::to_string(filled.freeBytes);
}

// Fills the disks one after another, in several rounds, and checks after each round that changes
// are accepted in time and that no acknowledged one is missing.
void checkDisksFullInTurn(const full_disk_case &filled)
{
    log_group group(log_group_settings{filled.sources, filled.seed, true, replicaTiming()});
    operator_calls calls(group);
    group.run(5s);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(filled, "voters before"), filled.sources, group.voters());
    const std::size_t first = filled.firstLeaves ? 1 : 0;
    if (filled.firstLeaves) {
        group.stop(0);
    }
    for (unsigned round = 0; round < rounds; ++round) {
        for (std::size_t index = first; index < group.size(); ++index) {
            group.diskOf(index).setFull(true, filled.freeBytes);
            calls.send(filled.full);
            group.diskOf(index).setFull(false);
            calls.send(filled.pause);
        }
        CPPUNIT_ASSERT_MESSAGE(describe(filled, "no change accepted after a round"),
                               calls.isAcceptedWithin(ackTimeout));
    }
    calls.send(10s);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        describe(filled, "voters after"), filled.sources - first, group.voters());
    for (std::size_t index = first; index < group.size(); ++index) {
        const std::vector<std::string> &applied = group.appliedBy(index);
        for (const std::string &each : calls.acknowledged()) {
            const bool isThere = std::find(applied.begin(), applied.end(), each) != applied.end();
            CPPUNIT_ASSERT_MESSAGE(describe(filled, "an acknowledged change is missing"), isThere);
        }
    }
}

// Runs many cases that differ in the times, the free bytes and the seed.
void checkCases(std::size_t sources, bool firstLeaves)
{
    const std::vector<milliseconds> pauses{0ms, 20ms, 300ms, 700ms, 2'000ms};
    const std::vector<std::size_t> spaces{0, 40, 300, 2'000};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        full_disk_case filled;
        filled.sources = sources;
        filled.seed = seed;
        filled.full = milliseconds(1'000 + 100 * seed);
        filled.pause = pauses[seed % pauses.size()];
        filled.freeBytes = spaces[seed % spaces.size()];
        filled.firstLeaves = firstLeaves;
        checkDisksFullInTurn(filled);
    }
}

} // namespace

class full_disk_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(full_disk_test);
    CPPUNIT_TEST(acceptsChangesAfterDisksOfThreeSourcesWereFullInTurn);
    CPPUNIT_TEST(acceptsChangesAfterDisksOfFourSourcesWereFullInTurn);
    CPPUNIT_TEST(acceptsChangesAfterDisksOfFiveSourcesWereFullInTurn);
    CPPUNIT_TEST(acceptsChangesAfterASourceLeftWhileTheNextDiskWasFull);
    CPPUNIT_TEST_SUITE_END();

public:
    // These guard against sources that refuse changes for good once the disk of each was full.
    void acceptsChangesAfterDisksOfThreeSourcesWereFullInTurn()
    {
        checkCases(3, false);
    }

    void acceptsChangesAfterDisksOfFourSourcesWereFullInTurn()
    {
        checkCases(4, false);
    }

    // The source with the full disk is removed as unreachable and joins again.
    void acceptsChangesAfterDisksOfFiveSourcesWereFullInTurn()
    {
        checkCases(5, false);
    }

    // Guards against a source that is gone and counts towards the quorum for good, since no source
    // can be removed while another disk is full.
    void acceptsChangesAfterASourceLeftWhileTheNextDiskWasFull()
    {
        checkCases(4, true);
        checkCases(5, true);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(full_disk_test);

} // namespace jackdawweir::agreement
