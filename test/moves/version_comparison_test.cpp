#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/core/random.h"
#include "jackdawweir/moves/sequential_test.h"
#include "moves/support.h"
#include "support/property.h"

namespace jackdawweir::moves {

namespace {

struct traffic {
    double oldRate = 0;
    double newRate = 0;
    double newShare = 0.5;
    fault_origin origin = fault_origin::Server;
    // Only this route has the rates above; the others have no faults.
    std::string faultyRoute{};
};

struct experiment {
    version_comparison comparison{comparison_settings{}};
    double seconds = 0;

    // Adds one request per interval until the verdict is Bad or the number of requests is reached.
    // Stops the traffic to the new version while it is Suspect, as the controller does.
    comparison_verdict feed(const traffic &load, int requests, std::uint64_t seed)
    {
        core::random_engine engine(seed);
        std::uniform_real_distribution<double> draw(0, 1);
        const auto isBad = [this] {
            return comparison.verdict() == comparison_verdict::Bad;
        };
        for (int index = 0; index < requests && !isBad(); ++index) {
            seconds += 0.3;
            const bool isHeld = comparison.verdict() == comparison_verdict::Suspect;
            const bool isNew = !isHeld && draw(engine) < load.newShare;
            const std::string route = draw(engine) < 0.2 ? "rare" : "common";
            const bool isAffected = load.faultyRoute.empty() || load.faultyRoute == route;
            const double rate = isNew ? load.newRate : load.oldRate;
            const bool isFault = isAffected && draw(engine) < rate;
            add({test::cellOf(isNew ? test::newVersion : test::oldVersion,
                              route,
                              1,
                              isFault ? 1 : 0,
                              load.origin)});
        }
        return comparison.verdict();
    }

    void add(const std::vector<evidence_cell> &cells)
    {
        comparison.add(samplesOf(cells, test::quotes, test::oldVersion, test::newVersion),
                       test::at(seconds));
    }
};

int countVerdict(comparison_verdict wanted,
                 const traffic &before,
                 const traffic &load,
                 int requests,
                 int runs)
{
    int count = 0;
    for (int run = 0; run < runs; ++run) {
        experiment each;
        const auto seed = static_cast<std::uint64_t>(run);
        each.feed(before, 300, seed + 1'000'000);
        count += each.feed(load, requests, seed) == wanted ? 1 : 0;
    }
    return count;
}

int countBad(const traffic &before, const traffic &load, int requests, int runs)
{
    return countVerdict(comparison_verdict::Bad, before, load, requests, runs);
}

const traffic healthyTraffic{0.003, 0.003, 0};

} // namespace

class version_comparison_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(version_comparison_test);
    CPPUNIT_TEST(rarelyRejectsGoodVersion);
    CPPUNIT_TEST(rarelyRejectsGoodVersionDuringSharedFault);
    CPPUNIT_TEST(rejectsBadVersion);
    CPPUNIT_TEST(rejectsVersionWithFaultOnOneRoute);
    CPPUNIT_TEST(rejectsVersionWhoseFaultBeginsLate);
    CPPUNIT_TEST(ignoresFaultsOutsideTheVersion);
    CPPUNIT_TEST(rejectsSlowVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against repeated reads of the verdict that raise the rate of wrong rollbacks: it is
    // read after each of 2,000 requests.
    void rarelyRejectsGoodVersion()
    {
        CPPUNIT_ASSERT(countBad(healthyTraffic, {0.003, 0.003}, 2000, 400) <= 2);
        CPPUNIT_ASSERT(countBad({0.02, 0.02, 0}, {0.02, 0.02}, 2000, 400) <= 2);
    }

    // Guards against a rollback because of a fault that the old version has as well.
    void rarelyRejectsGoodVersionDuringSharedFault()
    {
        CPPUNIT_ASSERT(countBad(healthyTraffic, {0.5, 0.5, 0.3}, 300, 400) <= 2);
        CPPUNIT_ASSERT(countBad(healthyTraffic, {0.5, 0.5, 0.9}, 300, 400) <= 2);
    }

    // Guards against a bad version that stays in service. While it is Suspect it gets no traffic,
    // and its verdict takes longer if the old version has a few faults by chance.
    void rejectsBadVersion()
    {
        CPPUNIT_ASSERT_EQUAL(200, countBad(healthyTraffic, {0.003, 0.3, 0.1}, 2000, 200));
        const traffic always{0.003, 1.0, 0.9};
        CPPUNIT_ASSERT_EQUAL(
            0, countVerdict(comparison_verdict::Clear, healthyTraffic, always, 200, 200));
        CPPUNIT_ASSERT_EQUAL(200, countBad(healthyTraffic, always, 400, 200));
    }

    // Guards against missing a fault on one route in the sum over all routes.
    void rejectsVersionWithFaultOnOneRoute()
    {
        traffic load{0.003, 0.5, 0.3};
        load.faultyRoute = "rare";
        CPPUNIT_ASSERT_EQUAL(200, countBad(healthyTraffic, load, 2000, 200));
    }

    // Guards against missing a fault that begins after many successful requests.
    void rejectsVersionWhoseFaultBeginsLate()
    {
        experiment tested;
        tested.feed({0.003, 0.003}, 4000, 1);
        CPPUNIT_ASSERT(tested.feed({0.003, 0.6}, 100, 2) == comparison_verdict::Bad);
    }

    // Guards against a rollback because of a downstream fault, an overload or a cold start.
    void ignoresFaultsOutsideTheVersion()
    {
        jackdawweir::test::checkProperty(
            "other origins never make a version suspect", [](std::uint64_t seed, unsigned pick) {
                const std::array<fault_origin, 3> origins{
                    fault_origin::Downstream, fault_origin::Overload, fault_origin::ColdStart};
                experiment each;
                const traffic load{0, 0.8, 0.5, origins[pick % origins.size()]};
                RC_ASSERT(each.feed(load, 300, seed) == comparison_verdict::Clear);
            });
    }

    // Guards against keeping a version whose responses are correct but slow.
    void rejectsSlowVersion()
    {
        experiment tested;
        tested.feed(healthyTraffic, 500, 1);
        evidence_cell slow = test::cellOf(test::newVersion, "common", 0, 0);
        slow.counters.add({fault_origin::None, std::chrono::milliseconds(40)});
        for (int index = 0; index < 10; ++index) {
            tested.seconds += 1;
            tested.add({slow, test::cellOf(test::oldVersion, "common", 4, 0)});
        }
        CPPUNIT_ASSERT(tested.comparison.verdict() == comparison_verdict::Bad);
        CPPUNIT_ASSERT(tested.comparison.explanation().starts_with("slow"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_comparison_test);

} // namespace jackdawweir::moves
