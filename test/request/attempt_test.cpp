#include <array>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/request/attempt_outcome.h"
#include "jackdawweir/request/retry_policy.h"
#include "support/property.h"

namespace jackdawweir::request {

namespace {

using document::request_kind;

attempt_facts completeResponse(int status)
{
    attempt_facts facts;
    facts.bytesWritten = 100;
    facts.status = status;
    facts.responseIdMatches = true;
    facts.responseComplete = true;
    return facts;
}

// Calls the next level, where every attempt fails, and retries as the budget of this level allows.
// Returns the number of attempts that reach the last level.
std::size_t callDown(std::uint32_t level, std::uint32_t levels, std::vector<retry_budget> &budgets)
{
    if (level + 1 == levels) {
        return 1;
    }
    std::size_t reached = 0;
    budgets[level].recordRequest();
    finished_attempt attempt;
    attempt.kind = request_kind::Idempotent;
    attempt.level = level;
    attempt.remaining = std::chrono::seconds(1);
    attempt.attemptResult = attempt_outcome{
        request_outcome::Unknown, attempt_fault::TimedOut, failure_origin::Server, false, false};
    for (attempt.attempts = 1;; ++attempt.attempts) {
        reached += callDown(level + 1, levels, budgets);
        if (!mayRetry(attempt, budgets[level])) {
            return reached;
        }
    }
}

} // namespace

class attempt_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(attempt_test);
    CPPUNIT_TEST(reportsNotRunOnlyWhereNothingWasSentOrTheServerSaysSo);
    CPPUNIT_TEST(neverForwardsCrossedOrTruncatedResponse);
    CPPUNIT_TEST(namesOriginOfFailure);
    CPPUNIT_TEST(neverRepeatsNonIdempotentRequestThatMayHaveRun);
    CPPUNIT_TEST(retriesDoNotMultiplyOverTwelveLevels);
    CPPUNIT_TEST(timeShrinksAtEachOfTwelveHops);
    CPPUNIT_TEST(readsHeaderNumbers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a false not-run (P6), regardless of what else is known about the attempt.
    void reportsNotRunOnlyWhereNothingWasSentOrTheServerSaysSo()
    {
        test::checkProperty("not-run is certain", [](bool timedOut, bool matches, bool complete) {
            attempt_facts facts = completeResponse(*rc::gen::element(200, 500, 503));
            facts.bytesWritten = *rc::gen::element<std::uint64_t>(0, 1, 100);
            facts.timedOut = timedOut;
            facts.cancelled = *rc::gen::arbitrary<bool>();
            facts.responseIdMatches = matches;
            facts.responseComplete = complete;
            if (*rc::gen::arbitrary<bool>()) {
                facts.declaredOutcome = request_outcome::NotRun;
            }
            const bool serverSaysSo
                = facts.declaredOutcome && matches && complete && !timedOut && !facts.cancelled;
            const bool isCertain = facts.bytesWritten == 0 || serverSaysSo;
            RC_ASSERT((classify(facts).outcome == request_outcome::NotRun) == isCertain);
        });
    }

    // Guards against a caller that gets another caller's response or an incomplete response (P5).
    void neverForwardsCrossedOrTruncatedResponse()
    {
        attempt_facts crossed = completeResponse(200);
        crossed.responseIdMatches = false;
        attempt_facts truncated = completeResponse(200);
        truncated.responseComplete = false;
        attempt_facts late = completeResponse(200);
        late.timedOut = true;
        for (const attempt_facts &facts : {crossed, truncated, late}) {
            const attempt_outcome attemptResult = classify(facts);
            CPPUNIT_ASSERT(!attemptResult.forwardResponse);
            CPPUNIT_ASSERT(!attemptResult.reuseConnection);
            CPPUNIT_ASSERT(attemptResult.outcome == request_outcome::Unknown);
        }
        CPPUNIT_ASSERT(classify(completeResponse(200)).forwardResponse);
    }

    // Guards against counting a failure against a version that did not cause it, and against taking
    // the faults of a bad version for overload (P4).
    void namesOriginOfFailure()
    {
        attempt_facts facts = completeResponse(500);
        CPPUNIT_ASSERT(classify(facts).origin == failure_origin::Server);
        facts.serverIsCold = true;
        CPPUNIT_ASSERT(classify(facts).origin == failure_origin::ColdStart);
        facts.declaredOrigin = failure_origin::FurtherDown;
        CPPUNIT_ASSERT(classify(facts).origin == failure_origin::FurtherDown);
        attempt_facts unavailable = completeResponse(503);
        CPPUNIT_ASSERT(classify(unavailable).origin == failure_origin::Server);
        unavailable.serverIsBusy = true;
        CPPUNIT_ASSERT(classify(unavailable).origin == failure_origin::Overload);
    }

    // Guards against a retry that runs a non-idempotent request a second time (P7).
    void neverRepeatsNonIdempotentRequestThatMayHaveRun()
    {
        finished_attempt attempt;
        attempt.kind = request_kind::NonIdempotent;
        attempt.remaining = std::chrono::seconds(1);
        attempt.attemptResult.fault = attempt_fault::TimedOut;
        for (const request_outcome outcome : {request_outcome::Done, request_outcome::Unknown}) {
            attempt.attemptResult.outcome = outcome;
            CPPUNIT_ASSERT(!isSafeToRetry(attempt));
        }
        attempt.attemptResult.outcome = request_outcome::NotRun;
        CPPUNIT_ASSERT(isSafeToRetry(attempt));
    }

    // Guards against a retry storm: three attempts at each of 12 levels would multiply the load on
    // the last level by 177,147.
    void retriesDoNotMultiplyOverTwelveLevels()
    {
        constexpr std::uint32_t levels = 12;
        constexpr std::size_t requests = 1000;
        std::vector<retry_budget> budgets(levels);
        std::size_t reached = 0;
        for (std::size_t count = 0; count < requests; ++count) {
            reached += callDown(0, levels, budgets);
        }
        // The budget starts with one retry.
        CPPUNIT_ASSERT_EQUAL(requests + requests / 10 + 1, reached);
    }

    // Guards against processing requests after their callers' deadlines.
    void timeShrinksAtEachOfTwelveHops()
    {
        std::chrono::milliseconds timeLeft(800);
        for (int hop = 0; hop < 12; ++hop) {
            const std::chrono::milliseconds next = nextHopTime(timeLeft);
            CPPUNIT_ASSERT(next < timeLeft);
            CPPUNIT_ASSERT(next.count() > 0);
            timeLeft = next;
        }
        CPPUNIT_ASSERT_EQUAL(std::chrono::milliseconds::rep{0},
                             nextHopTime(minAttemptTime).count());
        document::route_contract contract;
        contract.deadline = std::chrono::milliseconds(800);
        CPPUNIT_ASSERT(requestTime(contract, std::nullopt) == contract.deadline);
        CPPUNIT_ASSERT(requestTime(contract, std::chrono::milliseconds(9)).count() == 9'000'000);
    }

    void readsHeaderNumbers()
    {
        CPPUNIT_ASSERT(parseDeadline("250") == std::chrono::milliseconds(250));
        CPPUNIT_ASSERT(parseAttemptLevel("3") == 3U);
        for (const char *malformed : {"", "-1", "1x", " 1", "99999999999999999999"}) {
            CPPUNIT_ASSERT_MESSAGE(malformed, !parseDeadline(malformed));
            CPPUNIT_ASSERT_MESSAGE(malformed, !parseAttemptLevel(malformed));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_test);

} // namespace jackdawweir::request
