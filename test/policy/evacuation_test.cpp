// Tests the commands that evacuate data centres, as the replicated state machine applies them.

#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/policy/policy_state.h"
#include "jackdawweir/policy/view_delta.h"
#include "policy/sample_policy.h"
#include "support/property.h"

namespace jackdawweir::policy {

class evacuation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(evacuatesADataCentreAndTakesItBack);
    CPPUNIT_TEST(acceptsARepeatAndChangesNothing);
    CPPUNIT_TEST(acceptsADataCentreWithoutHosts);
    CPPUNIT_TEST(refusesANameThatCannotExist);
    CPPUNIT_TEST(keepsEvacuationsApartFromChangesOfThePolicy);
    CPPUNIT_TEST(restoresEvacuationsFromASnapshotAndTheLog);
    CPPUNIT_TEST(carriesEvacuationsInDifferences);
    CPPUNIT_TEST(keepsThePositionsOfStoredCommands);
    CPPUNIT_TEST_SUITE_END();

public:
    static begin_evacuation begin(const std::string &name)
    {
        return begin_evacuation{core::data_centre_name{name}};
    }

    static end_evacuation end(const std::string &name)
    {
        return end_evacuation{core::data_centre_name{name}};
    }

    static bool isEvacuated(const policy_state &state, const std::string &name)
    {
        return state.view().evacuated.contains(core::data_centre_name{name});
    }

    static void assertAccepted(const command_result &result)
    {
        CPPUNIT_ASSERT(result.outcome == command_outcome::Accepted);
    }

    void evacuatesADataCentreAndTakesItBack()
    {
        policy_state state;
        assertAccepted(state.apply(begin("a"), 4));
        CPPUNIT_ASSERT(isEvacuated(state, "a"));
        CPPUNIT_ASSERT(!isEvacuated(state, "b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, state.view().revision);
        assertAccepted(state.apply(end("a"), 6));
        CPPUNIT_ASSERT(!isEvacuated(state, "a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, state.view().revision);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6},
                             state.view().evacuationEnds.at(core::data_centre_name{"a"}));
    }

    // Guards against a resent order that is refused, and against one that makes every node fetch a
    // view in which nothing has changed.
    void acceptsARepeatAndChangesNothing()
    {
        policy_state state;
        assertAccepted(state.apply(end("a"), 3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.view().revision);
        assertAccepted(state.apply(begin("a"), 4));
        assertAccepted(state.apply(begin("a"), 5));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, state.view().revision);
        assertAccepted(state.apply(end("a"), 6));
        assertAccepted(state.apply(end("a"), 7));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, state.view().revision);
    }

    // Guards against an order that is refused because its data centre has lost all its hosts.
    void acceptsADataCentreWithoutHosts()
    {
        policy_state state;
        assertAccepted(state.apply(begin("no-host-reports-from-here"), 1));
    }

    void refusesANameThatCannotExist()
    {
        policy_state state;
        const std::string tooLong(policy_state::maxDataCentreNameBytes + 1, 'a');
        for (const std::string &name : {std::string(), tooLong}) {
            CPPUNIT_ASSERT(state.apply(begin(name), 1).outcome == command_outcome::Refused);
            CPPUNIT_ASSERT(state.apply(end(name), 2).outcome == command_outcome::Refused);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.view().revision);
    }

    // Guards against an evacuation that conflicts with a change on the same version, or that is
    // lost with the policy that was replaced.
    void keepsEvacuationsApartFromChangesOfThePolicy()
    {
        policy_state state;
        assertAccepted(state.apply(replace_policy{0, samplePolicy(3, "first")}, 1));
        assertAccepted(state.apply(begin("a"), 2));
        assertAccepted(state.apply(replace_policy{3, samplePolicy(5, "second")}, 3));
        CPPUNIT_ASSERT(isEvacuated(state, "a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.view().policy.number);
    }

    // Guards against an acknowledged evacuation that is lost when a source starts again from its
    // snapshot and the entries behind it.
    void restoresEvacuationsFromASnapshotAndTheLog()
    {
        test::checkProperty("a replica from a snapshot and the rest of the log is the same", [] {
            const auto names = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
            policy_state whole;
            std::vector<std::string> log;
            for (const int drawn : names) {
                const std::string name = "centre-" + std::to_string(drawn / 2);
                const command next = drawn % 2 == 0 ? command(begin(name)) : command(end(name));
                log.push_back(wire::encode(next));
            }
            const std::size_t cut = names.empty() ? 0 : names.size() / 2;
            policy_state restored;
            for (std::size_t index = 0; index < log.size(); ++index) {
                if (index == cut) {
                    RC_ASSERT(core::isOk(restored.restore(whole.encode())));
                }
                RC_ASSERT(core::isOk(whole.applyEncoded(log[index], index + 1)));
                if (index >= cut) {
                    RC_ASSERT(core::isOk(restored.applyEncoded(log[index], index + 1)));
                }
            }
            RC_ASSERT(restored.encode() == whole.encode());
        });
    }

    void carriesEvacuationsInDifferences()
    {
        policy_state state;
        state.apply(begin("a"), 1);
        state.apply(begin("b"), 2);
        const policy_view before = forNodes(state.view());
        state.apply(end("a"), 3);
        const policy_view after = forNodes(state.view());
        const core::result<policy_view> applied = applyDelta(before, makeDelta(before, after));
        CPPUNIT_ASSERT(core::isOk(applied));
        CPPUNIT_ASSERT(core::valueIn(applied).evacuated == after.evacuated);
        CPPUNIT_ASSERT(core::valueIn(applied).evacuationEnds == after.evacuationEnds);
    }

    // Guards against a log that a later version reads as other commands.
    void keepsThePositionsOfStoredCommands()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, command(establish_version()).index());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, command(begin("a")).index());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, command(end("a")).index());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

} // namespace jackdawweir::policy
