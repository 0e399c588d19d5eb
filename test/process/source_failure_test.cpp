// Sources that are killed, lose their disk or are paused with SIGSTOP.

#include <signal.h>

#include <future>

#include <cppunit/extensions/HelperMacros.h>

#include "process/deployment.h"
#include "process/wait.h"

namespace jackdawweir::process_test {

namespace {

host_id waitForLeader(const deployment &run)
{
    std::optional<host_id> leader;
    CPPUNIT_ASSERT_MESSAGE("a source leads", waitUntil(waitTimeout, [&] {
                               leader = run.leader();
                               return leader.has_value();
                           }));
    return *leader;
}

std::vector<host_id> sourcesExcept(const host_id &excluded)
{
    std::vector<host_id> others = deployment::sources();
    std::erase(others, excluded);
    return others;
}

void assertAccepted(const submit_answer &answer)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::string("accepted"), answer.outcome);
}

void assertSame(const core::config_version &expected, const core::config_version &actual)
{
    CPPUNIT_ASSERT_EQUAL(core::toString(expected), core::toString(actual));
}

} // namespace

class source_failure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(source_failure_test);
    CPPUNIT_TEST(anotherSourceAcceptsAfterTheLeaderWasKilled);
    CPPUNIT_TEST(acceptedDocumentSurvivesLossOfOneDiskAndThenOfASecondSource);
    CPPUNIT_TEST(pausedLeaderAcceptsNothingAndOneOfTwoSubmissionsIsAccepted);
    CPPUNIT_TEST(leaderRunsOnWhileItsWritesExceedTheLimitOnTheSizeOfFiles);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a deployment that accepts nothing after its leader is lost, and against a
    // submission table that only the leader holds, so that a resend is decided a second time.
    void anotherSourceAcceptsAfterTheLeaderWasKilled()
    {
        deployment run(2);
        run.start();
        const host_id killed = waitForLeader(run);
        const std::vector<host_id> others = sourcesExcept(killed);
        const auto before = run.currentDocument(others.front());
        CPPUNIT_ASSERT(before.has_value());
        const core::result<core::config_version> expected
            = core::parseConfigVersion(before->version);
        CPPUNIT_ASSERT(core::isOk(expected));
        const submitted_document earlier{
            "earlier", core::valueIn(expected), deployment::documentText(1)};
        const submit_answer first = run.submit(others.front(), earlier);
        assertAccepted(first);

        run.killDaemon(killed);
        const submit_answer second
            = run.applyThrough(others.front(), "after-kill", deployment::documentText(2));
        assertAccepted(second);
        CPPUNIT_ASSERT(second.version > first.version);
        CPPUNIT_ASSERT(waitForLeader(run) != killed);
        for (const host_id &other : others) {
            const submit_answer resent = run.submit(other, earlier);
            assertAccepted(resent);
            assertSame(first.version, resent.version);
        }
        const auto after = run.currentDocument(others.back());
        CPPUNIT_ASSERT(after.has_value());
        CPPUNIT_ASSERT_EQUAL(deployment::documentText(2), after->body);
    }

    // Guards against a source that restarts with an empty disk under its old identity: it would be
    // counted as a replica of entries that it no longer has, and the loss of one more source would
    // lose an accepted document.
    void acceptedDocumentSurvivesLossOfOneDiskAndThenOfASecondSource()
    {
        deployment run(3);
        run.start();
        const host_id withoutDisk{2, 1};
        const host_id lost{1, 1};
        const host_id kept{3, 1};
        const submit_answer accepted
            = run.applyThrough(lost, "before-loss", deployment::documentText(1));
        assertAccepted(accepted);
        run.killDaemon(withoutDisk);
        run.removeDataFolder(withoutDisk);
        run.startDaemon(withoutDisk);
        // Until its old identity is removed, it counts towards the majority, so the loss of a
        // second source is not tolerated.
        CPPUNIT_ASSERT_MESSAGE("the old identity is removed", waitUntil(waitTimeout, [&] {
                                   return run.removedIdentities(withoutDisk) > 0
                                       && run.removedIdentities(kept) > 0;
                               }));

        run.killDaemon(lost);
        const submit_answer resent
            = run.applyThrough(kept, "before-loss", deployment::documentText(1));
        assertAccepted(resent);
        assertSame(accepted.version, resent.version);
        const auto held = run.currentDocument(withoutDisk);
        CPPUNIT_ASSERT(held.has_value());
        CPPUNIT_ASSERT_EQUAL(deployment::documentText(1), held->body);
        const submit_answer next
            = run.applyThrough(withoutDisk, "after-loss", deployment::documentText(2));
        assertAccepted(next);
        CPPUNIT_ASSERT(next.version > accepted.version);
    }

    // Guards against a leader that keeps accepting submissions after its lease expired while it was
    // paused, and against two accepted documents that replace the same version.
    void pausedLeaderAcceptsNothingAndOneOfTwoSubmissionsIsAccepted()
    {
        deployment run(5);
        run.start();
        const host_id paused = waitForLeader(run);
        const std::vector<host_id> others = sourcesExcept(paused);
        const auto before = run.currentDocument(others.front());
        CPPUNIT_ASSERT(before.has_value());
        const core::config_version expected
            = core::valueIn(core::parseConfigVersion(before->version));

        run.daemon(paused).kill(SIGSTOP);
        // The submission waits in the accept queue of the paused process, which handles it as soon
        // as it is resumed.
        const submitted_document late{"through-old", expected, deployment::documentText(1)};
        std::future<submit_answer> throughOld = std::async(
            std::launch::async, [&run, paused, late] { return run.submit(paused, late); });
        const submit_answer winner
            = run.applyThrough(others.front(), "through-new", deployment::documentText(2));
        assertAccepted(winner);
        CPPUNIT_ASSERT(winner.version.epoch > expected.epoch);
        run.daemon(paused).kill(SIGCONT);

        submit_answer loser = throughOld.get();
        CPPUNIT_ASSERT_MESSAGE("the late submission is decided", waitUntil(waitTimeout, [&] {
                                   CPPUNIT_ASSERT_MESSAGE(loser.body, loser.outcome != "accepted");
                                   if (loser.outcome != "conflict") {
                                       loser = run.submit(paused, late);
                                   }
                                   return loser.outcome == "conflict";
                               }));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(loser.body, std::string("conflict"), loser.outcome);
        assertSame(winner.version, loser.version);
        assertOneOfTwoWins(run, others);
    }

private:
    static void assertOneOfTwoWins(const deployment &run, const std::vector<host_id> &through)
    {
        const auto before = run.currentDocument(through.front());
        CPPUNIT_ASSERT(before.has_value());
        const core::config_version expected
            = core::valueIn(core::parseConfigVersion(before->version));
        std::vector<std::future<submit_answer>> pending;
        for (const host_id &host : through) {
            constexpr unsigned firstSerial = 10;
            const submitted_document submitted{
                toString(host), expected, deployment::documentText(firstSerial + host.dataCentre)};
            pending.push_back(std::async(std::launch::async, [&run, host, submitted] {
                return run.submit(host, submitted);
            }));
        }
        const submit_answer first = pending.front().get();
        const submit_answer second = pending.back().get();
        const bool firstWon = first.outcome == "accepted";
        const submit_answer &won = firstWon ? first : second;
        const submit_answer &lost = firstWon ? second : first;
        assertAccepted(won);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(lost.body, std::string("conflict"), lost.outcome);
        assertSame(won.version, lost.version);
    }

    // Guards against a daemon that the signal of a refused write ends.
    void leaderRunsOnWhileItsWritesExceedTheLimitOnTheSizeOfFiles()
    {
        deployment run(10);
        run.start();
        const host_id limited = waitForLeader(run);
        const std::vector<host_id> others = sourcesExcept(limited);
        run.daemon(limited).limitFileSize(0);
        assertAccepted(
            run.applyThrough(others.front(), "while-limited", deployment::documentText(1)));
        CPPUNIT_ASSERT(!run.daemon(limited).waitForExit(std::chrono::seconds(2)));
        run.daemon(limited).limitFileSize(std::nullopt);
        assertAccepted(run.applyThrough(limited, "after-limit", deployment::documentText(2)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_failure_test);

} // namespace jackdawweir::process_test
