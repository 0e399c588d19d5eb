// Plays random demand with cuts, losses and restarts on a mesh, and adds up what all nodes admit in
// every window.

#include <array>

#include <cppunit/extensions/HelperMacros.h>

#include "quota/quota_mesh.h"
#include "support/property.h"

namespace jackdawweir::quota {

using std::chrono::milliseconds;

namespace {

// A workspace is sized so that its usual demand is this part of its quota.
constexpr double usualPart = 0.625;

// Quotas from a few requests a second, far below one for each node, to many for each node.
constexpr std::array<double, 5> rates{4, 12, 40, 150, 647};

quota_mesh_setup drawnSetup()
{
    quota_mesh_setup setup;
    setup.nodes = *rc::gen::inRange<std::size_t>(12, 92);
    setup.requestsPerSecond = *rc::gen::elementOf(rates);
    setup.burst = setup.requestsPerSecond;
    setup.seed = *rc::gen::arbitrary<std::uint64_t>();
    return setup;
}

// Returns a demand of so many requests per second that is spread unevenly.
std::vector<double> drawnDemand(std::size_t nodes, double total)
{
    std::vector<double> demand(nodes, 0);
    const auto period = *rc::gen::inRange<std::size_t>(1, 6);
    double weights = 0;
    for (std::size_t node = 0; node < nodes; ++node) {
        demand[node] = node % period == 0 ? 3 : 1;
        weights += demand[node];
    }
    for (double &each : demand) {
        each *= total / weights;
    }
    return demand;
}

enum class fault {
    None,
    Cut,
    NodeRestarts,
    SourceLost,
    SourceReplaced,
    LostMessages,
    LowerQuota,
    HigherQuota,
};

constexpr std::array<fault, 8> faults{fault::None,
                                      fault::Cut,
                                      fault::NodeRestarts,
                                      fault::SourceLost,
                                      fault::SourceReplaced,
                                      fault::LostMessages,
                                      fault::LowerQuota,
                                      fault::HigherQuota};

// Returns true if the requests are at most this part of all requests. A workspace of a few requests
// a second sends too few for a part of them to tell, so four requests are always permitted.
bool isAtMost(double part, std::int64_t requests, std::int64_t all)
{
    constexpr std::int64_t few = 4;
    return requests <= few || static_cast<double>(requests) <= part * static_cast<double>(all);
}

// Lets all processes get in touch before the first request.
void startUp(quota_mesh &mesh)
{
    mesh.run(milliseconds(1'000));
}

void play(quota_mesh &mesh, fault played, double rate)
{
    switch (played) {
    case fault::Cut:
        mesh.cut({0, 1, 1});
        break;
    case fault::NodeRestarts:
        for (std::size_t node = 0; node < mesh.nodes(); node += 3) {
            mesh.restartNode(node);
        }
        break;
    case fault::SourceLost:
        mesh.stopSource(0);
        break;
    case fault::SourceReplaced:
        mesh.stopSource(1);
        mesh.run(milliseconds(300));
        mesh.startSource(1);
        break;
    case fault::LowerQuota:
        // A lower quota binds once the requests of before have left the window.
        mesh.setRate(rate / 2, rate / 2);
        mesh.resetCounts();
        break;
    case fault::HigherQuota:
        mesh.setRate(rate * 2, rate * 2);
        break;
    case fault::None:
    case fault::LostMessages:
        break;
    }
}

} // namespace

class quota_property_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_property_test);
    CPPUNIT_TEST(keepsTheSumBelowTheBoundUnderFaults);
    CPPUNIT_TEST(keepsTheSumBelowTheBoundWithoutSources);
    CPPUNIT_TEST(keepsTheSumBelowTheBoundOnBothSidesOfACut);
    CPPUNIT_TEST(refusesNothingBelowTheQuota);
    CPPUNIT_TEST(refusesLittleWhereDemandMoves);
    CPPUNIT_TEST(admitsTheQuotaOfAWorkspaceThatSendsMore);
    CPPUNIT_TEST(admitsUsualDemandSoonAfterAnExcess);
    CPPUNIT_TEST(countsOnlyRequestsThatRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more requests than the quota, its overage and its margin on all nodes.
    void keepsTheSumBelowTheBoundUnderFaults()
    {
        test::checkProperty("what all nodes admit in a window is bounded", [] {
            quota_mesh_setup setup = drawnSetup();
            const fault played = *rc::gen::elementOf(faults);
            setup.loss = played == fault::LostMessages ? 0.02 : 0;
            const double excess = *rc::gen::inRange(2, 9);
            const auto faultAfter = *rc::gen::inRange(0, 4'000);
            quota_mesh mesh(setup);
            startUp(mesh);
            const double usual = usualPart * setup.requestsPerSecond;
            mesh.setDemand(drawnDemand(setup.nodes, usual));
            mesh.run(milliseconds(8'000));
            mesh.resetCounts();
            mesh.setDemand(drawnDemand(setup.nodes, usual * excess));
            mesh.run(milliseconds(faultAfter));
            play(mesh, played, setup.requestsPerSecond);
            mesh.run(milliseconds(6'000));
            mesh.heal();
            mesh.startSource(0);
            mesh.run(milliseconds(3'000));
            RC_LOG() << "fault " << static_cast<int>(played) << " most " << mesh.mostInWindow()
                     << " bound " << mesh.bound();
            RC_ASSERT(static_cast<double>(mesh.mostInWindow()) <= mesh.bound());
        });
    }

    // Guards against a second burst where all sources end at once and start again without state.
    void keepsTheSumBelowTheBoundWithoutSources()
    {
        test::checkProperty("a silence of all sources opens no second burst", [] {
            const quota_mesh_setup setup = drawnSetup();
            const auto silentAfter = *rc::gen::inRange(1'000, 4'000);
            const auto silentFor = *rc::gen::inRange(100, 4'000);
            quota_mesh mesh(setup);
            startUp(mesh);
            const double usual = usualPart * setup.requestsPerSecond;
            mesh.setDemand(evenly(setup.nodes, usual));
            mesh.run(milliseconds(8'000));
            mesh.resetCounts();
            mesh.setDemand(evenly(setup.nodes, usual * 8));
            mesh.run(milliseconds(silentAfter));
            for (const std::size_t source : {0U, 1U, 2U}) {
                mesh.stopSource(source);
            }
            mesh.run(milliseconds(silentFor));
            for (const std::size_t source : {0U, 1U, 2U}) {
                mesh.startSource(source);
            }
            mesh.run(milliseconds(5'000));
            RC_LOG() << "most " << mesh.mostInWindow() << " bound " << mesh.bound();
            RC_ASSERT(static_cast<double>(mesh.mostInWindow()) <= mesh.bound());
        });
    }

    // Guards against both sides of a partition that admit the whole quota.
    void keepsTheSumBelowTheBoundOnBothSidesOfACut()
    {
        test::checkProperty("an excess that begins within a cut is bounded", [] {
            const quota_mesh_setup setup = drawnSetup();
            const auto excessAfter = *rc::gen::inRange(0, 4'000);
            quota_mesh mesh(setup);
            startUp(mesh);
            const double usual = usualPart * setup.requestsPerSecond;
            mesh.setDemand(evenly(setup.nodes, usual));
            mesh.run(milliseconds(8'000));
            mesh.resetCounts();
            mesh.cut({0, 1, 2});
            mesh.run(milliseconds(excessAfter));
            mesh.setDemand(evenly(setup.nodes, usual * 8));
            mesh.run(milliseconds(6'000));
            mesh.heal();
            mesh.run(milliseconds(4'000));
            RC_LOG() << "most " << mesh.mostInWindow() << " bound " << mesh.bound();
            RC_ASSERT(static_cast<double>(mesh.mostInWindow()) <= mesh.bound());
        });
    }

    // Guards against fixed shares, which refuse where a node gets more than its share.
    void refusesNothingBelowTheQuota()
    {
        test::checkProperty("usual demand is admitted whole", [] {
            const quota_mesh_setup setup = drawnSetup();
            quota_mesh mesh(setup);
            startUp(mesh);
            const double usual = usualPart * setup.requestsPerSecond;
            mesh.setDemand(drawnDemand(setup.nodes, usual));
            mesh.run(milliseconds(10'000));
            RC_ASSERT(isAtMost(0.005, mesh.refusedBelowQuota(), mesh.offered()));
        });
    }

    // Guards against an allowance that stays at nodes and data centres that no longer need it.
    void refusesLittleWhereDemandMoves()
    {
        test::checkProperty("demand that moves is admitted", [] {
            const quota_mesh_setup setup = drawnSetup();
            quota_mesh mesh(setup);
            startUp(mesh);
            const double usual = usualPart * setup.requestsPerSecond;
            for (std::size_t turn = 0; turn < 8; ++turn) {
                std::vector<double> demand(setup.nodes, 0);
                const std::size_t dataCentre = turn % setup.dataCentres;
                for (std::size_t node = dataCentre; node < setup.nodes; node += setup.dataCentres) {
                    demand[node] = usual * static_cast<double>(setup.dataCentres)
                        / static_cast<double>(setup.nodes);
                }
                mesh.setDemand(demand);
                mesh.run(milliseconds(1'500));
            }
            RC_ASSERT(isAtMost(0.01, mesh.refusedBelowQuota(), mesh.offered()));
        });
    }

    // Guards against a limit that takes more than what is above the quota.
    void admitsTheQuotaOfAWorkspaceThatSendsMore()
    {
        test::checkProperty("an excess does not lower what is admitted", [] {
            const quota_mesh_setup setup = drawnSetup();
            quota_mesh mesh(setup);
            startUp(mesh);
            const double rate = setup.requestsPerSecond;
            mesh.setDemand(evenly(setup.nodes, usualPart * rate));
            mesh.run(milliseconds(8'000));
            mesh.resetCounts();
            mesh.setDemand(evenly(setup.nodes, 5 * rate));
            mesh.run(milliseconds(6'000));
            const double due = rate * 6;
            RC_ASSERT(static_cast<double>(mesh.admitted()) >= 0.9 * due);
        });
    }

    // Guards against a debt or a stale share that outlasts the excess.
    void admitsUsualDemandSoonAfterAnExcess()
    {
        test::checkProperty("usual demand is admitted a second after an excess", [] {
            const quota_mesh_setup setup = drawnSetup();
            quota_mesh mesh(setup);
            startUp(mesh);
            const double usual = usualPart * setup.requestsPerSecond;
            mesh.setDemand(evenly(setup.nodes, usual * 8));
            mesh.run(milliseconds(8'000));
            mesh.setDemand(evenly(setup.nodes, usual));
            mesh.run(milliseconds(1'500));
            mesh.resetCounts();
            mesh.run(milliseconds(5'000));
            RC_ASSERT(isAtMost(0.02, mesh.refusedBelowQuota(), mesh.offered()));
        });
    }

    // Guards against a quota that requests use up although no server has run them.
    void countsOnlyRequestsThatRun()
    {
        test::checkProperty("requests that do not run are given back", [] {
            const quota_mesh_setup setup = drawnSetup();
            quota_mesh mesh(setup);
            startUp(mesh);
            mesh.setDemand(evenly(setup.nodes, 1.2 * setup.requestsPerSecond));
            mesh.setNotRunPart(0.5);
            mesh.run(milliseconds(10'000));
            RC_ASSERT(isAtMost(0.02, mesh.refused(), mesh.offered()));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_property_test);

} // namespace jackdawweir::quota
