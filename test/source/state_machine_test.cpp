#include "jackdawweir/source/state_machine.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace jackdawweir::source {

namespace {

using namespace std::chrono_literals;
using document::move_phase;

const core::wall_time start{std::chrono::hours(480'000)};
const core::wall_time later = start + 1h;

document::document quotes(std::uint32_t oldPercent = 100)
{
    return document::document_builder()
        .addService(
            "quotes",
            {{core::version_name{"v1"}, oldPercent}, {core::version_name{"v2"}, 100 - oldPercent}})
        .build();
}

document::document quotesWithMove(core::wall_time doneBy, std::uint32_t oldPercent = 100)
{
    document::document built = quotes(oldPercent);
    built.moves.push_back(document::move_request{
        core::service_name{"quotes"}, core::version_name{"v1"}, core::version_name{"v2"}, doneBy});
    return built;
}

submit_command submission(const std::string &id,
                          document::document submitted,
                          std::optional<core::config_version> expected = std::nullopt)
{
    return submit_command{core::submission_id{id},
                          expected,
                          core::operator_name{"ada"},
                          std::move(submitted),
                          "original of " + id,
                          start};
}

// Applies submissions with consecutive ids, and decisions, to a state machine.
class state_machine_driver
{
public:
    submission_result submit(document::document submitted,
                             std::optional<core::config_version> expected = std::nullopt)
    {
        const std::string id = "s" + std::to_string(++m_last);
        return *m_state.apply(submission(id, std::move(submitted), expected), 1).submission;
    }

    bool decide(const document::move_state &held, move_phase phase, std::uint32_t share)
    {
        const document::move_decision decision{
            held.id, held.phase, held.newShareBasisPoints, phase, share, "evidence"};
        return m_state.apply(decide_command{decision, start}, 1).isChanged;
    }

    state_machine &state()
    {
        return m_state;
    }

private:
    state_machine m_state;
    int m_last = 0;
};

void assertOutcome(submission_outcome expected, const submission_result &actual)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        actual.reason, std::string(toString(expected)), std::string(toString(actual.outcome)));
}

} // namespace

class state_machine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_machine_test);
    CPPUNIT_TEST(acceptsOneSubmissionPerExpectedVersion);
    CPPUNIT_TEST(returnsFirstResultToResentSubmission);
    CPPUNIT_TEST(keepsRecentAndLatestSubmissions);
    CPPUNIT_TEST(acceptsExpectedVersionAcrossMoveDecisions);
    CPPUNIT_TEST(refusesDocumentThatNoNodeCouldActivate);
    CPPUNIT_TEST(keepsStateOfUnchangedMove);
    CPPUNIT_TEST(refusesSecondMoveWhileOneRuns);
    CPPUNIT_TEST(refusesMoveThatEndsInThePast);
    CPPUNIT_TEST(supersedesDroppedMove);
    CPPUNIT_TEST(supersedesMoveOfChangedVersions);
    CPPUNIT_TEST(doesNotRestartEndedMove);
    CPPUNIT_TEST(ignoresOutdatedDecision);
    CPPUNIT_TEST(ignoresImpossibleDecision);
    CPPUNIT_TEST(restoresEqualState);
    CPPUNIT_TEST(refusesCorruptState);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two submissions that are both accepted for the same expected version, so that
    // the second one silently overwrites the first.
    void acceptsOneSubmissionPerExpectedVersion()
    {
        state_machine_driver machine;
        const core::config_version base = machine.submit(quotes()).version;
        const submission_result accepted = machine.submit(quotes(90), base);
        const submission_result conflicting = machine.submit(quotes(80), base);
        assertOutcome(submission_outcome::Accepted, accepted);
        assertOutcome(submission_outcome::Conflict, conflicting);
        CPPUNIT_ASSERT(conflicting.version == accepted.version);
        CPPUNIT_ASSERT(accepted.version.number == base.number + 1);
        CPPUNIT_ASSERT_EQUAL(std::string("original of s2"), machine.state().originalBytes());
    }

    // Guards against a resent submission that is applied twice or reported as a conflict.
    void returnsFirstResultToResentSubmission()
    {
        state_machine state;
        const auto first = state.apply(submission("a", quotes()), 1);
        state.apply(submission("b", quotes(50)), 1);
        const core::config_version before = state.version();
        const auto resent = state.apply(submission("a", quotes(), first.submission->version), 7);
        CPPUNIT_ASSERT(!resent.isChanged);
        CPPUNIT_ASSERT(resent.submission == first.submission);
        CPPUNIT_ASSERT(state.version() == before);
    }

    // Guards against a submission table that drops a result too early or grows without bound.
    void keepsRecentAndLatestSubmissions()
    {
        state_machine state;
        const std::size_t count = state_machine::minSubmissionsKept + 10;
        for (std::size_t index = 0; index < count; ++index) {
            state.apply(submission("s" + std::to_string(index), quotes()), 1);
        }
        CPPUNIT_ASSERT(state.findSubmission(core::submission_id{"s0"}).has_value());
        submit_command nextDay = submission("next", quotes());
        nextDay.at = start + state_machine::submissionRetention + 1s;
        state.apply(nextDay, 1);
        CPPUNIT_ASSERT(!state.findSubmission(core::submission_id{"s10"}).has_value());
        CPPUNIT_ASSERT(state.findSubmission(core::submission_id{"s11"}).has_value());
    }

    // Guards against a submission that is reported as a conflict although only decisions on a move
    // have created versions above the expected one.
    void acceptsExpectedVersionAcrossMoveDecisions()
    {
        state_machine_driver machine;
        const core::config_version base = machine.submit(quotesWithMove(later)).version;
        CPPUNIT_ASSERT(machine.decide(machine.state().moves()[0], move_phase::Running, 100));
        const core::config_version shown = machine.state().version();
        CPPUNIT_ASSERT(shown != base);
        assertOutcome(submission_outcome::Accepted, machine.submit(quotesWithMove(later), base));
        core::config_version altered = machine.state().version();
        altered.contentDigest.low ^= 1;
        assertOutcome(submission_outcome::Conflict, machine.submit(quotes(), altered));
        assertOutcome(submission_outcome::Conflict, machine.submit(quotes(), shown));
    }

    // Guards against a committed configuration that every node rejects.
    void refusesDocumentThatNoNodeCouldActivate()
    {
        state_machine_driver machine;
        document::document broken = quotes();
        broken.routes.push_back(
            document::route_builder("stock").pathPrefix("/").service("stock").build());
        assertOutcome(submission_outcome::Refused, machine.submit(broken));
        CPPUNIT_ASSERT(machine.state().version().isNone());
    }

    // Guards against a move that restarts at share zero when another part of the document changes.
    void keepsStateOfUnchangedMove()
    {
        state_machine_driver machine;
        machine.submit(quotesWithMove(later));
        machine.decide(machine.state().moves()[0], move_phase::Running, 2500);
        document::document changed = quotesWithMove(later);
        changed.services.push_back(
            document::service{core::service_name{"stock"}, {{core::version_name{"v1"}, 100}}});
        assertOutcome(submission_outcome::Accepted, machine.submit(changed));
        CPPUNIT_ASSERT_EQUAL(2500U, machine.state().moves()[0].newShareBasisPoints);
        CPPUNIT_ASSERT(machine.state().resources().contains("move/quotes"));
    }

    // Guards against two concurrent moves that set the shares of the same service.
    void refusesSecondMoveWhileOneRuns()
    {
        state_machine_driver machine;
        machine.submit(quotesWithMove(later));
        assertOutcome(submission_outcome::Refused, machine.submit(quotesWithMove(later + 1h)));
        machine.decide(machine.state().moves()[0], move_phase::Reverted, 0);
        assertOutcome(submission_outcome::Accepted, machine.submit(quotesWithMove(later + 1h)));
        CPPUNIT_ASSERT(machine.state().moves()[0].phase == move_phase::Running);
    }

    // Guards against a move that cannot complete in time at any rate.
    void refusesMoveThatEndsInThePast()
    {
        state_machine_driver machine;
        assertOutcome(submission_outcome::Refused, machine.submit(quotesWithMove(start)));
    }

    // Guards against a move that still sets shares after a document has dropped it, or that is
    // missing from the history.
    void supersedesDroppedMove()
    {
        state_machine_driver machine;
        machine.submit(quotesWithMove(later));
        machine.submit(quotes());
        CPPUNIT_ASSERT(machine.state().moves().empty());
        CPPUNIT_ASSERT(!machine.state().resources().contains("move/quotes"));
        CPPUNIT_ASSERT(machine.state().moveHistory().back().state.phase == move_phase::Superseded);
    }

    // Guards against a move that continues after the document has changed the shares of its
    // service.
    void supersedesMoveOfChangedVersions()
    {
        state_machine_driver machine;
        machine.submit(quotesWithMove(later));
        assertOutcome(submission_outcome::Accepted, machine.submit(quotesWithMove(later, 90)));
        CPPUNIT_ASSERT(machine.state().moves().empty());
        machine.submit(quotesWithMove(later, 90));
        CPPUNIT_ASSERT(machine.state().moves().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, machine.state().moveHistory().size());
    }

    // Guards against a reverted move that starts again when the same document is submitted again.
    void doesNotRestartEndedMove()
    {
        state_machine_driver machine;
        machine.submit(quotesWithMove(later));
        machine.decide(machine.state().moves()[0], move_phase::Reverted, 0);
        machine.submit(quotesWithMove(later));
        CPPUNIT_ASSERT(machine.state().moves()[0].phase == move_phase::Reverted);
        CPPUNIT_ASSERT_EQUAL(std::string("evidence"),
                             machine.state().moveHistory().back().state.reason);
    }

    // Guards against a decision that a change of leader has delayed and that raises a share again
    // after the move was reverted.
    void ignoresOutdatedDecision()
    {
        state_machine_driver machine;
        machine.submit(quotesWithMove(later));
        const document::move_state staleState = machine.state().moves()[0];
        CPPUNIT_ASSERT(machine.decide(staleState, move_phase::Reverted, 0));
        const core::config_version before = machine.state().version();
        CPPUNIT_ASSERT(!machine.decide(staleState, move_phase::Running, 5000));
        CPPUNIT_ASSERT(machine.state().version() == before);
    }

    // Guards against decisions with an invalid phase transition, for instance one that completes a
    // reverted move, or with a share above 100 percent.
    void ignoresImpossibleDecision()
    {
        state_machine_driver machine;
        machine.submit(quotesWithMove(later));
        CPPUNIT_ASSERT(
            !machine.decide(machine.state().moves()[0], move_phase::RevertedAfterDone, 0));
        CPPUNIT_ASSERT(!machine.decide(machine.state().moves()[0], move_phase::Running, 10'001));
        machine.decide(machine.state().moves()[0], move_phase::Reverted, 0);
        CPPUNIT_ASSERT(!machine.decide(machine.state().moves()[0], move_phase::Done, 10'000));
    }

    // Guards against a replica whose state differs after a restart or after a snapshot from the
    // leader.
    void restoresEqualState()
    {
        test::checkProperty("a restored state behaves like the original", [] {
            state_machine_driver machine;
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
            for (const int each : steps) {
                applyStep(machine, each);
            }
            state_machine restored;
            RC_ASSERT(core::isOk(restored.restore(machine.state().encode())));
            RC_ASSERT(restored.encode() == machine.state().encode());
            RC_ASSERT(restored.resources() == machine.state().resources());
            const submit_command resent = submission("s1", quotes(10));
            const auto expected = machine.state().apply(resent, 2);
            RC_ASSERT(restored.apply(resent, 2).submission == expected.submission);
            RC_ASSERT(restored.encode() == machine.state().encode());
        });
    }

    // Guards against a corrupt snapshot that replaces a part of the state, and against a payload
    // that does not decode but is applied.
    void refusesCorruptState()
    {
        state_machine_driver machine;
        machine.submit(quotes());
        const std::string bytes = machine.state().encode();
        state_machine restored;
        CPPUNIT_ASSERT(!core::isOk(restored.restore(bytes.substr(0, bytes.size() / 2))));
        CPPUNIT_ASSERT(restored.version().isNone());
        CPPUNIT_ASSERT(!core::isOk(restored.applyEncoded("\xc1", 1)));
    }

private:
    static void applyStep(state_machine_driver &machine, int step)
    {
        const std::vector<document::move_state> moves = machine.state().moves();
        if (step == 0) {
            machine.submit(quotes(60));
        } else if (step == 1) {
            machine.submit(quotesWithMove(later, 60));
        } else if (step == 2 && !moves.empty()) {
            machine.decide(moves[0], move_phase::Running, moves[0].newShareBasisPoints + 100);
        } else if (step == 3 && !moves.empty()) {
            machine.decide(moves[0], move_phase::Done, document::wholeShareBasisPoints);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_machine_test);

} // namespace jackdawweir::source
