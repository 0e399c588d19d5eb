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

    // Feeds single requests, one for each interval, until the verdict is Bad or the count is
    // reached. Stops the traffic of the new version while it is Suspect, as a driver does.
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

const traffic quiet{0.003, 0.003, 0};

} // namespace

class version_comparison_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(version_comparison_test);
    CPPUNIT_TEST(rarelyCondemnsGoodVersion);
    CPPUNIT_TEST(rarelyCondemnsUnderSharedFault);
    CPPUNIT_TEST(condemnsBadVersion);
    CPPUNIT_TEST(condemnsFaultOnOneRoute);
    CPPUNIT_TEST(condemnsFaultThatComesLate);
    CPPUNIT_TEST(ignoresCausesOutsideTheVersion);
    CPPUNIT_TEST(condemnsSlowVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against interim looks that raise the rate of wrong rollbacks: the test is looked at
    // after each of 2,000 requests.
    void rarelyCondemnsGoodVersion()
    {
        CPPUNIT_ASSERT(countBad(quiet, {0.003, 0.003}, 2000, 400) <= 2);
        CPPUNIT_ASSERT(countBad({0.02, 0.02, 0}, {0.02, 0.02}, 2000, 400) <= 2);
    }

    // Guards against a rollback for a fault that the old version has as well.
    void rarelyCondemnsUnderSharedFault()
    {
        CPPUNIT_ASSERT(countBad(quiet, {0.5, 0.5, 0.3}, 300, 400) <= 2);
        CPPUNIT_ASSERT(countBad(quiet, {0.5, 0.5, 0.9}, 300, 400) <= 2);
    }

    // Guards against a bad version that stays in service. A Suspect one gets no traffic; its
    // verdict waits where the old version has a few faults by chance.
    void condemnsBadVersion()
    {
        CPPUNIT_ASSERT_EQUAL(200, countBad(quiet, {0.003, 0.3, 0.1}, 2000, 200));
        const traffic always{0.003, 1.0, 0.9};
        CPPUNIT_ASSERT_EQUAL(0, countVerdict(comparison_verdict::Clear, quiet, always, 200, 200));
        CPPUNIT_ASSERT_EQUAL(200, countBad(quiet, always, 400, 200));
    }

    // Guards against a fault that disappears in the sum over all routes.
    void condemnsFaultOnOneRoute()
    {
        traffic load{0.003, 0.5, 0.3};
        load.faultyRoute = "rare";
        CPPUNIT_ASSERT_EQUAL(200, countBad(quiet, load, 2000, 200));
    }

    // Guards against much earlier good evidence that hides a later fault.
    void condemnsFaultThatComesLate()
    {
        experiment late;
        late.feed({0.003, 0.003}, 4000, 1);
        CPPUNIT_ASSERT(late.feed({0.003, 0.6}, 100, 2) == comparison_verdict::Bad);
    }

    // Guards against a rollback for a cause down the call chain, for overload or for a cold start.
    void ignoresCausesOutsideTheVersion()
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

    // Guards against a version whose answers are correct but late.
    void condemnsSlowVersion()
    {
        experiment late;
        late.feed(quiet, 500, 1);
        evidence_cell slow = test::cellOf(test::newVersion, "common", 0, 0);
        slow.counters.add({fault_origin::None, std::chrono::milliseconds(40)});
        for (int index = 0; index < 10; ++index) {
            late.seconds += 1;
            late.add({slow, test::cellOf(test::oldVersion, "common", 4, 0)});
        }
        CPPUNIT_ASSERT(late.comparison.verdict() == comparison_verdict::Bad);
        CPPUNIT_ASSERT(late.comparison.explanation().starts_with("slow"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_comparison_test);

} // namespace jackdawweir::moves
