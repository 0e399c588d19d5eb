#include "jackdawweir/distribution/subscriber.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fleet.h"

namespace jackdawweir::distribution {

using namespace std::chrono_literals;

namespace {

const core::monotonic_time start{1h};
const core::endpoint upstream{"relay-0"};
constexpr std::uint64_t session = 10;

distribution_settings nodeSettings()
{
    settings_builder builder;
    builder.ownHost("node").dataCentre("dc").ownEndpoint("node").incarnation(session).addSource(
        "s");
    for (const char *relay : {"relay-0", "relay-1", "relay-2"}) {
        builder.addRelayCandidate(relay);
    }
    return core::valueIn(builder.build());
}

snapshot snapshotOf(unsigned number)
{
    snapshot built;
    built.session = session;
    built.resources = document::toResources(documentOf(3, number), {});
    built.version = core::config_version{1, number, document::digestOf(built.resources)};
    return built;
}

witness_reply witnessReplyOf(std::uint64_t incarnation, const core::config_version &held)
{
    return witness_reply{session, witness_state{true, incarnation, held, {}}};
}

const core::error *findError(const effects &wanted)
{
    for (const effect &each : wanted) {
        if (const auto *report = std::get_if<report_error>(&each)) {
            return &report->failure;
        }
    }
    return nullptr;
}

} // namespace

class subscriber_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(subscriber_test);
    CPPUNIT_TEST(invalidDeltaChangesNothing);
    CPPUNIT_TEST(invalidConfigurationChangesNothing);
    CPPUNIT_TEST(ignoresReplyToEarlierIncarnation);
    CPPUNIT_TEST(ignoresLateSnapshotOfOlderVersion);
    CPPUNIT_TEST(activatesOnlyWithMajority);
    CPPUNIT_TEST(ignoresWitnessStateFromBeforeRestart);
    CPPUNIT_TEST(ignoresRecoveryRequestOfEarlierIncarnation);
    CPPUNIT_TEST(recoversOnlyWithStatesOfEnoughWitnesses);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a delta that is applied partially or recorded as another version (P3).
    void invalidDeltaChangesNothing()
    {
        core::random_engine engine(1);
        subscriber tested(nodeSettings(), engine);
        const snapshot first = snapshotOf(1);
        tested.handle(upstream, first, start);
        delta invalidDelta;
        invalidDelta.session = session;
        invalidDelta.base = first.version;
        invalidDelta.result = snapshotOf(2).version;
        // Valid on its own, but version 2 contains a different resource.
        invalidDelta.changed["service/service-0"] = snapshotOf(5).resources.at("service/service-0");
        const effects wanted = tested.handle(upstream, invalidDelta, start);
        CPPUNIT_ASSERT(findError(wanted) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("relay-0"), findError(wanted)->peer);
        CPPUNIT_ASSERT(!findError(wanted)->step.empty());
        CPPUNIT_ASSERT(tested.held() == first.version);
        tested.handle(upstream, snapshotOf(2), start);
        CPPUNIT_ASSERT(tested.held() == snapshotOf(2).version);
    }

    // Guards against a route without its service in a configuration whose digest matches (P2).
    void invalidConfigurationChangesNothing()
    {
        core::random_engine engine(1);
        subscriber tested(nodeSettings(), engine);
        snapshot invalid = snapshotOf(1);
        invalid.resources.erase("service/service-0");
        invalid.version.contentDigest = document::digestOf(invalid.resources);
        const effects wanted = tested.handle(upstream, invalid, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, wanted.size());
        CPPUNIT_ASSERT(findError(wanted)->code == core::error_code::InvalidArgument);
        CPPUNIT_ASSERT(tested.held().isNone());
    }

    // Guards against a version floor from a reply to an earlier incarnation.
    void ignoresReplyToEarlierIncarnation()
    {
        core::random_engine engine(1);
        subscriber tested(nodeSettings(), engine);
        floor_reply late{session - 1, true, {}, ""};
        tested.handle(core::endpoint{"s"}, late, start);
        CPPUNIT_ASSERT(!tested.versionFloor().has_value());
        late.session = session;
        tested.handle(core::endpoint{"s"}, late, start);
        CPPUNIT_ASSERT(tested.versionFloor().has_value());
    }

    // Guards against a return to an older version when updates arrive out of order (P1).
    void ignoresLateSnapshotOfOlderVersion()
    {
        core::random_engine engine(1);
        subscriber tested(nodeSettings(), engine);
        tested.handle(upstream, snapshotOf(2), start);
        tested.handle(upstream, snapshotOf(1), start);
        CPPUNIT_ASSERT(tested.held() == snapshotOf(2).version);
    }

    // Guards against activating a version that the witnesses cannot report after a restart (P1).
    void activatesOnlyWithMajority()
    {
        core::random_engine engine(1);
        subscriber tested(nodeSettings(), engine);
        const snapshot first = snapshotOf(1);
        tested.handle(core::endpoint{"s"}, floor_reply{session, true, first.version, ""}, start);
        tested.handle(upstream, first, start);
        tested.handle(upstream, witnessReplyOf(1, first.version), start);
        tested.handle(core::endpoint{"stranger"}, witnessReplyOf(1, first.version), start);
        CPPUNIT_ASSERT(tested.active() == nullptr);
        tested.handle(core::endpoint{"relay-1"}, witnessReplyOf(1, first.version), start);
        CPPUNIT_ASSERT(tested.active() != nullptr);
    }

    // Guards against a majority that counts the state of a witness from before it lost its memory,
    // when a witness that helped it to recover held the version only afterwards (P1).
    void ignoresWitnessStateFromBeforeRestart()
    {
        const core::config_version version{1, 4, {}};
        const core::endpoint restarted{"relay-0"};
        const core::endpoint helper{"relay-1"};
        witness_quorum tested;
        tested.add(restarted, witness_state{true, 1, version, {}});
        tested.add(helper, witness_state{true, 1, version, {{restarted, 2}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.countAtLeast(version));
        tested.add(restarted, witness_state{true, 2, version, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tested.countAtLeast(version));
    }

    // Guards against a recovery request of an earlier incarnation that lowers the known
    // incarnation.
    void ignoresRecoveryRequestOfEarlierIncarnation()
    {
        core::random_engine engine(1);
        distribution_settings settings = nodeSettings();
        settings.ownEndpoint = upstream;
        relay tested(settings, engine);
        const core::endpoint other{"relay-1"};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             tested.handle(other, recovery_request{5}, start).size());
        CPPUNIT_ASSERT(tested.handle(other, recovery_request{4}, start).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, tested.state().known.at(other));
    }

    // Guards against a witness that recovers from other witnesses none of which was in the majority
    // that allowed a node to activate a version (P1).
    void recoversOnlyWithStatesOfEnoughWitnesses()
    {
        core::random_engine engine(1);
        distribution_settings settings = nodeSettings();
        settings.ownEndpoint = upstream;
        relay tested(settings, engine);
        const core::config_version older{1, 3, {}};
        const core::config_version newer{1, 4, {}};
        const auto reply = [](bool hasMemory, const core::config_version &held) {
            return recovery_reply{session, witness_state{hasMemory, 1, held, {}}};
        };
        tested.handle(core::endpoint{"relay-1"}, reply(true, older), start);
        tested.handle(core::endpoint{"relay-2"}, reply(false, newer), start);
        CPPUNIT_ASSERT(!tested.state().hasMemory);
        tested.handle(core::endpoint{"relay-2"}, reply(true, newer), start);
        CPPUNIT_ASSERT(tested.state().hasMemory);
        CPPUNIT_ASSERT(tested.state().held == newer);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(subscriber_test);

} // namespace jackdawweir::distribution
