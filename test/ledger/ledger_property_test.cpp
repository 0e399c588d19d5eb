#include <cstdint>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "ledger/ledger_world.h"
#include "support/property.h"

namespace jackdawweir::ledger {

namespace {

// Failures of a run as text for the message of a test.
std::string violationsOf(const world_settings &settings, std::uint64_t seed)
{
    ledger_world world(settings, seed);
    world.run();
    std::string text;
    for (const std::string &each : world.violations()) {
        text += each + "; ";
    }
    return text;
}

} // namespace

class ledger_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ledger_property_test);
    CPPUNIT_TEST(holdsAllGuaranteesUnderFaultsWithThreeReplicas);
    CPPUNIT_TEST(holdsAllGuaranteesUnderFaultsWithFiveReplicas);
    CPPUNIT_TEST(holdsAllGuaranteesUnderLostJournals);
    CPPUNIT_TEST(answersEachOutcomeInAFaultyRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that runs twice, a false not-run, a resend with another response than
    // the first, a caller without an answer and a ledger that stays stuck after the faults end (P6,
    // P7).
    void holdsAllGuaranteesUnderFaultsWithThreeReplicas()
    {
        test::checkProperty("three replicas hold every guarantee", [](std::uint64_t seed) {
            RC_ASSERT(violationsOf(world_settings{}, seed) == "");
        });
    }

    void holdsAllGuaranteesUnderFaultsWithFiveReplicas()
    {
        test::checkProperty("five replicas hold every guarantee", [](std::uint64_t seed) {
            world_settings settings;
            settings.replicas = 5;
            RC_ASSERT(violationsOf(settings, seed) == "");
        });
    }

    // Guards against grants of a lost journal that complete a majority, with many requests of few
    // keys in flight at the time of the loss.
    void holdsAllGuaranteesUnderLostJournals()
    {
        test::checkProperty("lost journals break no guarantee", [](std::uint64_t seed) {
            world_settings settings;
            settings.keys = 40;
            settings.requestsPerKey = 6;
            settings.lostJournals = 12;
            settings.loss = 0.2;
            settings.partitions = 0;
            settings.faultTime = std::chrono::milliseconds(4000);
            RC_ASSERT(violationsOf(settings, seed) == "");
        });
    }

    // Guards against a model too gentle or too harsh to reach every outcome.
    void answersEachOutcomeInAFaultyRun()
    {
        ledger_world world(world_settings{}, 1);
        world.run();
        CPPUNIT_ASSERT(world.executionCount() > 0);
        CPPUNIT_ASSERT(world.answerCount(caller_outcome::Done) > 0);
        CPPUNIT_ASSERT(world.answerCount(caller_outcome::NotRun) > 0);
        CPPUNIT_ASSERT(world.answerCount(caller_outcome::Unknown) > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_property_test);

} // namespace jackdawweir::ledger
