#include "jackdawweir/ledger/ledger_replica.h"

#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::ledger {

namespace {

const core::host_name node{"node"};
const core::host_name other{"replica-1"};
const core::host_name third{"replica-2"};
constexpr attempt_id first{1, 1};
constexpr attempt_id second{2, 2};
const core::request_key key{"1800000000-a"};

replica_settings settings()
{
    replica_settings result;
    result.self = core::host_name{"replica-0"};
    result.replicas = {result.self, other, third};
    return result;
}

ledger_time timeAt(std::chrono::nanoseconds sinceIssue)
{
    return ledger_time{core::monotonic_time(std::chrono::hours(1) + sinceIssue),
                       core::wall_time(std::chrono::seconds(1'800'000'000)) + sinceIssue};
}

std::uint64_t lastAppend(const replica_effects &effects)
{
    std::uint64_t sequence = 0;
    for (const replica_effect &each : effects) {
        if (const auto *append = std::get_if<append_journal>(&each)) {
            sequence = append->sequence;
        }
    }
    return sequence;
}

std::optional<key_reply> replyIn(const replica_effects &effects)
{
    for (const replica_effect &each : effects) {
        if (const auto *sent = std::get_if<send_message>(&each)) {
            if (const auto *reply = std::get_if<key_reply>(&sent->message)) {
                return *reply;
            }
        }
    }
    return std::nullopt;
}

// Returns a new replica whose first append is synced.
ledger_replica createdReplica()
{
    ledger_replica result(settings(), journal_start::Created, {}, timeAt({}));
    result.synced(lastAppend(result.start(timeAt({}))), timeAt({}));
    return result;
}

// Sends a message, completes the sync and returns the answer.
key_answer answerTo(ledger_replica &replica, const ledger_message &message, const ledger_time &now)
{
    replica_effects effects = replica.receive(node, message, now);
    if (const std::uint64_t sequence = lastAppend(effects); sequence != 0) {
        effects = replica.synced(sequence, now);
    }
    return replyIn(effects).value().answer;
}

} // namespace

class ledger_replica_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ledger_replica_test);
    CPPUNIT_TEST(answersGrantOnlyAfterSync);
    CPPUNIT_TEST(stopsGrantsAfterJournalFailure);
    CPPUNIT_TEST(grantsKeyOnce);
    CPPUNIT_TEST(releasesGrantForItsOwnerOnly);
    CPPUNIT_TEST(givesNoGrantToDelayedClaimAfterRelease);
    CPPUNIT_TEST(keepsRefusedKeyUntilHoldEnds);
    CPPUNIT_TEST(dropsBodyAboveLimit);
    CPPUNIT_TEST(neverGrantsForgottenKeyAgain);
    CPPUNIT_TEST(waitsOneLifetimeAfterLostJournalWithoutPeers);
    CPPUNIT_TEST(reportsNewGenerationOnceItWasCopiedFrom);
    CPPUNIT_TEST(refusesMalformedAndStaleKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a grant that has been used and is then lost in a crash (P7).
    void answersGrantOnlyAfterSync()
    {
        ledger_replica replica = createdReplica();
        const replica_effects effects
            = replica.receive(node, claim_request{key, first}, timeAt({}));
        CPPUNIT_ASSERT(!replyIn(effects));
        const std::optional<key_reply> reply
            = replyIn(replica.synced(lastAppend(effects), timeAt({})));
        CPPUNIT_ASSERT(reply.value().answer == key_answer::Granted);
    }

    // Guards against granting keys when the journal can't be written (P7).
    void stopsGrantsAfterJournalFailure()
    {
        ledger_replica replica = createdReplica();
        const replica_effects effects
            = replica.receive(node, claim_request{key, first}, timeAt({}));
        replica.journalFailed("disk full", timeAt({}));
        CPPUNIT_ASSERT(!replyIn(replica.synced(lastAppend(effects), timeAt({}))));
        const core::request_key later{"1800000000-b"};
        CPPUNIT_ASSERT(answerTo(replica, claim_request{later, first}, timeAt({}))
                       == key_answer::NotReady);
    }

    void grantsKeyOnce()
    {
        ledger_replica replica = createdReplica();
        const ledger_time now = timeAt({});
        CPPUNIT_ASSERT(answerTo(replica, claim_request{key, first}, now) == key_answer::Granted);
        CPPUNIT_ASSERT(answerTo(replica, claim_request{key, second}, now)
                       == key_answer::HeldByOther);
        // A resent claim gets the same answer.
        CPPUNIT_ASSERT(answerTo(replica, claim_request{key, first}, now) == key_answer::Granted);
    }

    // Guards against a second run while the first attempt holds the key (P7).
    void releasesGrantForItsOwnerOnly()
    {
        ledger_replica replica = createdReplica();
        const ledger_time now = timeAt({});
        answerTo(replica, claim_request{key, first}, now);
        answerTo(replica, release_request{key, second}, now);
        CPPUNIT_ASSERT(answerTo(replica, claim_request{key, attempt_id{3, 3}}, now)
                       == key_answer::HeldByOther);
        answerTo(replica, release_request{key, first}, now);
        CPPUNIT_ASSERT(answerTo(replica, claim_request{key, attempt_id{3, 3}}, now)
                       == key_answer::Granted);
    }

    // Guards against a key that stays granted to an attempt that has ended.
    void givesNoGrantToDelayedClaimAfterRelease()
    {
        ledger_replica replica = createdReplica();
        const ledger_time now = timeAt({});
        answerTo(replica, release_request{key, first}, now);
        CPPUNIT_ASSERT(answerTo(replica, claim_request{key, first}, now) == key_answer::Withdrawn);
    }

    // Guards against an attempt that runs after another attempt was answered as not-run (P6).
    void keepsRefusedKeyUntilHoldEnds()
    {
        ledger_replica replica = createdReplica();
        answerTo(replica, refuse_request{key, first}, timeAt({}));
        const ledger_time before = timeAt(refusalHold - std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(answerTo(replica, claim_request{key, second}, before)
                       == key_answer::Refused);
        CPPUNIT_ASSERT(answerTo(replica, claim_request{key, second}, timeAt(refusalHold))
                       == key_answer::Granted);
    }

    // Guards against unbounded memory use by large recorded responses.
    void dropsBodyAboveLimit()
    {
        ledger_replica replica = createdReplica();
        const ledger_time now = timeAt({});
        recorded_outcome outcome{201, "text/plain", std::string(maxRecordedBody + 1, 'x'), false};
        answerTo(replica, claim_request{key, first}, now);
        answerTo(replica, record_request{key, first, outcome}, now);
        const std::optional<key_reply> reply
            = replyIn(replica.receive(node, claim_request{key, second}, now));
        CPPUNIT_ASSERT(reply.value().answer == key_answer::Recorded);
        CPPUNIT_ASSERT(reply->outcome == (recorded_outcome{201, "text/plain", "", true}));
    }

    // Guards against a second run with an old key after the replica has removed the record of the
    // first run and its clock is then set back (P7).
    void neverGrantsForgottenKeyAgain()
    {
        ledger_replica replica = createdReplica();
        answerTo(replica, claim_request{key, first}, timeAt({}));
        const std::chrono::seconds kept = keyLifetime + 2 * clockSkew;
        replica.tick(timeAt(kept));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica.keyCount());
        replica.synced(lastAppend(replica.tick(timeAt(kept + std::chrono::seconds(1)))),
                       timeAt(kept));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replica.keyCount());
        CPPUNIT_ASSERT(answerTo(replica, claim_request{key, second}, timeAt(keyLifetime / 2))
                       == key_answer::Expired);
    }

    // Guards against grants by a replica that can't know its earlier grants (P7).
    void waitsOneLifetimeAfterLostJournalWithoutPeers()
    {
        ledger_replica replica(settings(), journal_start::Lost, {}, timeAt({}));
        replica.start(timeAt({}));
        replica.tick(timeAt(keyLifetime));
        CPPUNIT_ASSERT(!replica.isReady());
        replica.tick(timeAt(keyLifetime + maxAhead + 2 * clockSkew));
        CPPUNIT_ASSERT(replica.isReady());
    }

    // Guards against a majority that counts a grant of a lost journal (P7).
    void reportsNewGenerationOnceItWasCopiedFrom()
    {
        ledger_replica replica = createdReplica();
        const ledger_time now = timeAt({});
        replica.receive(other, recovery_page_request{2, {}}, now);
        const replica_effects effects = replica.receive(node, claim_request{key, first}, now);
        const std::optional<key_reply> reply = replyIn(replica.synced(lastAppend(effects), now));
        CPPUNIT_ASSERT(reply.value().others
                       == (std::vector<replica_generation>{replica_generation{other, 2}}));
    }

    void refusesMalformedAndStaleKeys()
    {
        const core::wall_time now = timeAt({}).wall;
        const auto codeOf = [now](const char *text) {
            const core::status checked = checkKey(core::request_key{text}, now);
            const core::error *failure = core::errorIn(checked);
            return failure == nullptr ? std::nullopt : std::optional(failure->code);
        };
        CPPUNIT_ASSERT(!codeOf("1800000000-a"));
        CPPUNIT_ASSERT(!codeOf("1799996400-a"));
        CPPUNIT_ASSERT(codeOf("1799996399-a") == core::error_code::DeadlineExceeded);
        CPPUNIT_ASSERT(codeOf("1800000061-a") == core::error_code::DeadlineExceeded);
        for (const char *malformed :
             {"", "-", "1800000000-", "1800000000", "x-a", "-5-a", "1 -a"}) {
            CPPUNIT_ASSERT_MESSAGE(malformed,
                                   codeOf(malformed) == core::error_code::InvalidArgument);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_replica_test);

} // namespace jackdawweir::ledger
