#include "jackdawweir/ledger/key_claim.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::ledger {

namespace {

const core::request_key key{"1800000000-a"};
const core::host_name replicaA{"replica-a"};
const core::host_name replicaB{"replica-b"};
const core::host_name replicaC{"replica-c"};
constexpr core::monotonic_time start{std::chrono::hours(1)};

key_claim claimOf(bool isCallersKey, claim_mode mode = claim_mode::Run)
{
    core::random_engine engine(7);
    return key_claim(claim_input{key, isCallersKey, mode, {replicaA, replicaB, replicaC}}, engine);
}

key_reply replyOf(const key_claim &claim, key_answer answer, std::uint64_t generation = 1)
{
    key_reply reply;
    reply.key = key;
    reply.attempt = claim.attempt();
    reply.answer = answer;
    reply.generation = generation;
    return reply;
}

template<typename Effect>
const Effect *find(const claim_effects &effects)
{
    for (const claim_effect &each : effects) {
        if (const auto *found = std::get_if<Effect>(&each)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace

class key_claim_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(key_claim_test);
    CPPUNIT_TEST(runsOnceWithMajority);
    CPPUNIT_TEST(dropsGrantOfLostJournal);
    CPPUNIT_TEST(neverRunsAfterClaimTime);
    CPPUNIT_TEST(answersTimeoutByOriginOfKey);
    CPPUNIT_TEST(ignoresReplyToAnotherAttempt);
    CPPUNIT_TEST(answersShortHoldAsUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsOnceWithMajority()
    {
        key_claim claim = claimOf(true);
        claim.start(start);
        const key_reply granted = replyOf(claim, key_answer::Granted);
        CPPUNIT_ASSERT(find<run_request>(claim.receive(replicaA, granted, start)) == nullptr);
        // A duplicate reply does not count as a second grant.
        CPPUNIT_ASSERT(find<run_request>(claim.receive(replicaA, granted, start)) == nullptr);
        CPPUNIT_ASSERT(find<run_request>(claim.receive(replicaB, granted, start)) != nullptr);
        CPPUNIT_ASSERT(find<run_request>(claim.receive(replicaC, granted, start)) == nullptr);
    }

    // Guards against two attempts that both get a majority, one of them with a grant of a lost
    // journal: the recovered replica may have granted the key to the other attempt (P7).
    void dropsGrantOfLostJournal()
    {
        key_claim claim = claimOf(true);
        claim.start(start);
        claim.receive(replicaA, replyOf(claim, key_answer::Granted), start);
        key_reply later = replyOf(claim, key_answer::Granted);
        later.others = {replica_generation{replicaA, 2}};
        CPPUNIT_ASSERT(find<run_request>(claim.receive(replicaB, later, start)) == nullptr);
        // A delayed copy of the old grant does not count either; a grant of the new journal does.
        const key_reply old = replyOf(claim, key_answer::Granted);
        CPPUNIT_ASSERT(find<run_request>(claim.receive(replicaA, old, start)) == nullptr);
        const key_reply renewed = replyOf(claim, key_answer::Granted, 2);
        CPPUNIT_ASSERT(find<run_request>(claim.receive(replicaA, renewed, start)) != nullptr);
    }

    // Guards against a run after the hold of a refusal has ended, when another attempt's caller has
    // received not-run (P6).
    void neverRunsAfterClaimTime()
    {
        key_claim claim = claimOf(true);
        claim.start(start);
        const key_reply granted = replyOf(claim, key_answer::Granted);
        claim.receive(replicaA, granted, start);
        const claim_effects late = claim.receive(replicaB, granted, start + claimTime);
        CPPUNIT_ASSERT(find<run_request>(late) == nullptr);
        CPPUNIT_ASSERT(find<answer_caller>(late)->outcome == caller_outcome::Unknown);
    }

    // Guards against answering not-run for a caller's key although an earlier attempt with it may
    // have run (P6).
    void answersTimeoutByOriginOfKey()
    {
        for (const bool isCallersKey : {true, false}) {
            key_claim claim = claimOf(isCallersKey);
            claim.start(start);
            const claim_effects effects = claim.tick(start + claimTime);
            const caller_outcome expected
                = isCallersKey ? caller_outcome::Unknown : caller_outcome::NotRun;
            CPPUNIT_ASSERT(find<answer_caller>(effects)->outcome == expected);
        }
    }

    // Guards against counting a reply to another attempt (P5).
    void ignoresReplyToAnotherAttempt()
    {
        key_claim claim = claimOf(true);
        claim.start(start);
        key_reply granted = replyOf(claim, key_answer::Granted);
        granted.attempt.low += 1;
        claim.receive(replicaA, granted, start);
        CPPUNIT_ASSERT(find<run_request>(claim.receive(replicaB, granted, start)) == nullptr);
    }

    // Guards against answering not-run when the hold is about to end, after which an attempt that
    // started before the answer could still be granted the key (P6).
    void answersShortHoldAsUnknown()
    {
        key_claim claim = claimOf(true, claim_mode::Refuse);
        claim.start(start);
        key_reply refused = replyOf(claim, key_answer::Refused);
        refused.remainingHold = 2 * claimTime - std::chrono::milliseconds(1);
        claim.receive(replicaA, refused, start);
        const claim_effects effects = claim.receive(replicaB, refused, start);
        CPPUNIT_ASSERT(find<answer_caller>(effects)->outcome == caller_outcome::Unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_claim_test);

} // namespace jackdawweir::ledger
