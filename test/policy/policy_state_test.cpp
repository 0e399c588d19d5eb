#include "jackdawweir/policy/policy_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include "policy/sample_policy.h"

namespace jackdawweir::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

class policy_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(policy_state_test);
    CPPUNIT_TEST(acceptsOneOfTwoChangesOnOneBase);
    CPPUNIT_TEST(acknowledgesAnAcceptedChangeIndefinitely);
    CPPUNIT_TEST(refusesAnInvalidPolicy);
    CPPUNIT_TEST(refusesAnOlderNumber);
    CPPUNIT_TEST(acceptsARepeatedRolloutOrderOnce);
    CPPUNIT_TEST(refusesASecondRolloutWhileOneRuns);
    CPPUNIT_TEST(completesARollout);
    CPPUNIT_TEST(ignoresADecisionOnAnEndedRollout);
    CPPUNIT_TEST(restoresItsEncoding);
    CPPUNIT_TEST_SUITE_END();

public:
    static replace_policy change(std::uint64_t base, std::uint64_t number, const std::string &text)
    {
        return replace_policy{base, samplePolicy(number, text)};
    }

    static begin_rollout beginRollout(const std::string &target, seconds at = seconds(1000))
    {
        begin_rollout made;
        made.service.value = "stock";
        made.target.value = target;
        made.duration = milliseconds(12'000);
        made.at = core::wall_time(at);
        return made;
    }

    void acceptsOneOfTwoChangesOnOneBase()
    {
        policy_state state;
        CPPUNIT_ASSERT(state.apply(change(0, 3, "first"), 1).outcome == command_outcome::Accepted);
        CPPUNIT_ASSERT(state.apply(change(3, 7, "left"), 2).outcome == command_outcome::Accepted);
        const command_result conflicting = state.apply(change(3, 7, "right"), 3);
        CPPUNIT_ASSERT(conflicting.outcome == command_outcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, conflicting.current);
        CPPUNIT_ASSERT_EQUAL(std::string("left"), state.view().policy.original);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.view().revision);
    }

    void acknowledgesAnAcceptedChangeIndefinitely()
    {
        policy_state state;
        state.apply(change(0, 1, "first"), 1);
        for (std::uint64_t number = 2; number < 400; ++number) {
            state.apply(change(number - 1, number, "next " + std::to_string(number)), number);
        }
        CPPUNIT_ASSERT(state.apply(change(0, 1, "first"), 500).outcome
                       == command_outcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{399}, state.view().policy.number);
        CPPUNIT_ASSERT(state.findAccepted(change(0, 1, "first")).has_value());
        CPPUNIT_ASSERT(!state.findAccepted(change(0, 1, "second")).has_value());
    }

    void refusesAnInvalidPolicy()
    {
        policy_state state;
        replace_policy invalid = change(0, 1, "first");
        invalid.policy.routes[0].parts[0].service.value = "missing";
        CPPUNIT_ASSERT(state.apply(invalid, 1).outcome == command_outcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.view().revision);
    }

    void refusesAnOlderNumber()
    {
        policy_state state;
        state.apply(change(0, 5, "first"), 1);
        CPPUNIT_ASSERT(state.apply(change(5, 5, "same"), 2).outcome == command_outcome::Refused);
        CPPUNIT_ASSERT(state.apply(change(5, 4, "older"), 3).outcome == command_outcome::Refused);
    }

    void acceptsARepeatedRolloutOrderOnce()
    {
        policy_state state;
        CPPUNIT_ASSERT(state.apply(beginRollout("v2"), 1).outcome == command_outcome::Accepted);
        CPPUNIT_ASSERT(state.apply(beginRollout("v2", seconds(1003)), 2).outcome
                       == command_outcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.view().rollouts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.view().rollouts[0].id);
    }

    void refusesASecondRolloutWhileOneRuns()
    {
        policy_state state;
        state.apply(beginRollout("v2"), 1);
        CPPUNIT_ASSERT(state.apply(beginRollout("v3"), 2).outcome == command_outcome::Conflict);
    }

    void completesARollout()
    {
        policy_state state;
        state.apply(establish_version{core::service_name{"stock"}, core::version_name{"v1"}}, 1);
        state.apply(beginRollout("v2"), 2);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), state.view().rollouts[0].previous.value);
        state.apply(
            advance_rollout{
                core::service_name{"stock"}, 2, rollout_phase::Completed, wholeShare, "done"},
            3);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                             state.view().versions.at(core::service_name{"stock"}).value);
    }

    // Guards against a delayed decision of a former leader that would undo a rollback.
    void ignoresADecisionOnAnEndedRollout()
    {
        policy_state state;
        state.apply(beginRollout("v2"), 1);
        const core::service_name stock{"stock"};
        state.apply(advance_rollout{stock, 1, rollout_phase::RolledBack, 0, "fails"}, 2);
        const command_result late
            = state.apply(advance_rollout{stock, 1, rollout_phase::Running, 500, "more"}, 3);
        CPPUNIT_ASSERT(late.outcome == command_outcome::Conflict);
        CPPUNIT_ASSERT(state.view().rollouts[0].phase == rollout_phase::RolledBack);
    }

    void restoresItsEncoding()
    {
        policy_state state;
        state.apply(change(0, 3, "first"), 1);
        state.apply(beginRollout("v2"), 2);
        policy_state restored;
        CPPUNIT_ASSERT(core::isOk(restored.restore(state.encode())));
        CPPUNIT_ASSERT_EQUAL(state.encode(), restored.encode());
        CPPUNIT_ASSERT(restored.findAccepted(change(0, 3, "first")).has_value());
        CPPUNIT_ASSERT(!core::isOk(restored.restore("damaged")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_state_test);

} // namespace jackdawweir::policy
