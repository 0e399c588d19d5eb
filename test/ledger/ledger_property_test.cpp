#include <cstdint>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "ledger/ledger_simulation.h"
#include "support/property.h"

namespace jackdawweir::ledger {

namespace {

// Returns the violations of a simulation run as text for the failure message of a test.
std::string violationsOf(const simulation_settings &settings, std::uint64_t seed)
{
    ledger_simulation simulation(settings, seed);
    simulation.run();
    std::string text;
    for (const std::string &each : simulation.violations()) {
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
    // Guards against a request that runs twice, a false not-run, a resend that gets a different
    // response than the first request, a caller without an answer, and a ledger that does not
    // resume after the faults end (P6, P7).
    void holdsAllGuaranteesUnderFaultsWithThreeReplicas()
    {
        test::checkProperty("three replicas hold every guarantee", [](std::uint64_t seed) {
            RC_ASSERT(violationsOf(simulation_settings{}, seed) == "");
        });
    }

    void holdsAllGuaranteesUnderFaultsWithFiveReplicas()
    {
        test::checkProperty("five replicas hold every guarantee", [](std::uint64_t seed) {
            simulation_settings settings;
            settings.replicas = 5;
            RC_ASSERT(violationsOf(settings, seed) == "");
        });
    }

    // Guards against a majority completed by a grant of a lost journal, with many requests for few
    // keys in flight when the journal is lost.
    void holdsAllGuaranteesUnderLostJournals()
    {
        test::checkProperty("lost journals break no guarantee", [](std::uint64_t seed) {
            simulation_settings settings;
            settings.keys = 40;
            settings.requestsPerKey = 6;
            settings.lostJournals = 12;
            settings.lossProbability = 0.2;
            settings.partitions = 0;
            settings.faultDuration = std::chrono::milliseconds(4000);
            RC_ASSERT(violationsOf(settings, seed) == "");
        });
    }

    // Guards against a simulation with too few or too many faults to reach every outcome.
    void answersEachOutcomeInAFaultyRun()
    {
        ledger_simulation simulation(simulation_settings{}, 1);
        simulation.run();
        CPPUNIT_ASSERT(simulation.executionCount() > 0);
        CPPUNIT_ASSERT(simulation.answerCount(caller_outcome::Done) > 0);
        CPPUNIT_ASSERT(simulation.answerCount(caller_outcome::NotRun) > 0);
        CPPUNIT_ASSERT(simulation.answerCount(caller_outcome::Unknown) > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_property_test);

} // namespace jackdawweir::ledger
