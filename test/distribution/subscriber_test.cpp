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

witness_reply statement(std::uint64_t incarnation, const core::config_version &held)
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
    CPPUNIT_TEST(badDeltaChangesNothing);
    CPPUNIT_TEST(invalidConfigurationChangesNothing);
    CPPUNIT_TEST(ignoresReplyToEarlierStart);
    CPPUNIT_TEST(ignoresLateSnapshotOfOlderVersion);
    CPPUNIT_TEST(activatesOnlyWithMajority);
    CPPUNIT_TEST(dropsStatementFromBeforeLossOfMemory);
    CPPUNIT_TEST(lateRecoveryRequestGetsNoAnswer);
    CPPUNIT_TEST(recoversOnlyFromEnoughOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a delta applied in part, or under the name of another version (P3).
    void badDeltaChangesNothing()
    {
        core::random_engine engine(1);
        subscriber tested(nodeSettings(), engine);
        const snapshot first = snapshotOf(1);
        tested.handle(upstream, first, start);
        delta bad;
        bad.session = session;
        bad.base = first.version;
        bad.result = snapshotOf(2).version;
        // Valid on its own, but not what version 2 is.
        bad.changed["service/service-0"] = snapshotOf(5).resources.at("service/service-0");
        const effects wanted = tested.handle(upstream, bad, start);
        CPPUNIT_ASSERT(findError(wanted) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("relay-0"), findError(wanted)->peer);
        CPPUNIT_ASSERT(!findError(wanted)->step.empty());
        CPPUNIT_ASSERT(tested.held() == first.version);
        tested.handle(upstream, snapshotOf(2), start);
        CPPUNIT_ASSERT(tested.held() == snapshotOf(2).version);
    }

    // Guards against a route on a node without its service, where the digest is right (P2).
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

    // Guards against a version floor taken from an answer that was sent before this start.
    void ignoresReplyToEarlierStart()
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

    // Guards against a return to an older version when updates cross each other (P1).
    void ignoresLateSnapshotOfOlderVersion()
    {
        core::random_engine engine(1);
        subscriber tested(nodeSettings(), engine);
        tested.handle(upstream, snapshotOf(2), start);
        tested.handle(upstream, snapshotOf(1), start);
        CPPUNIT_ASSERT(tested.held() == snapshotOf(2).version);
    }

    // Guards against a version that a later restart cannot learn of from the witnesses (P1).
    void activatesOnlyWithMajority()
    {
        core::random_engine engine(1);
        subscriber tested(nodeSettings(), engine);
        const snapshot first = snapshotOf(1);
        tested.handle(core::endpoint{"s"}, floor_reply{session, true, first.version, ""}, start);
        tested.handle(upstream, first, start);
        tested.handle(upstream, statement(1, first.version), start);
        tested.handle(core::endpoint{"stranger"}, statement(1, first.version), start);
        CPPUNIT_ASSERT(tested.active() == nullptr);
        tested.handle(core::endpoint{"relay-1"}, statement(1, first.version), start);
        CPPUNIT_ASSERT(tested.active() != nullptr);
    }

    // Guards against a majority that counts what a witness stated before it lost its memory, when a
    // witness that helped it to recover stated the version only afterwards (P1).
    void dropsStatementFromBeforeLossOfMemory()
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

    // Guards against a recovery of an earlier start that resets what is known of a later one.
    void lateRecoveryRequestGetsNoAnswer()
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

    // Guards against a witness that recovers from others of which none was in the majority that let
    // a node activate a version (P1).
    void recoversOnlyFromEnoughOthers()
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
