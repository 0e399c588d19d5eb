// Scenarios of the moves experiment: the faults of the new version or of its environment.
//
//     const move_setup setup = makeSetup(scenario::BadLater, window, engine);

#pragma once

#include <array>
#include <cmath>
#include <cstddef>
#include <random>
#include <string>
#include <utility>

#include "jackdawweir/core/random.h"

namespace jackdawweir::bench {

enum class scenario {
    Good,
    BadAtOnce,
    BadLater,
    BadUnderLoad,
    BadOnOneRoute,
    SlowOnly,
    SharedFault,
    DownstreamCause,
    Overload,
    ColdStart,
    PartitionGood,
    PartitionBad,
    BadAfterDone,
    SharedBlip,
};

constexpr std::array<std::pair<scenario, const char *>, 14> scenarios{{
    {scenario::Good, "good"},
    {scenario::BadAtOnce, "bad-at-once"},
    {scenario::BadLater, "bad-later"},
    {scenario::BadUnderLoad, "bad-under-load"},
    {scenario::BadOnOneRoute, "bad-on-one-route"},
    {scenario::SlowOnly, "slow-only"},
    {scenario::SharedFault, "good-shared-fault"},
    {scenario::DownstreamCause, "good-downstream"},
    {scenario::Overload, "good-overload"},
    {scenario::ColdStart, "good-cold-start"},
    {scenario::PartitionGood, "good-partition"},
    {scenario::PartitionBad, "bad-partition"},
    {scenario::BadAfterDone, "bad-after-done"},
    {scenario::SharedBlip, "good-shared-blip"},
}};

constexpr std::size_t routeCount = 4;
constexpr std::size_t dataCentreCount = 3;
constexpr std::size_t nodesPerDataCentre = 4;
constexpr std::size_t serversPerDataCentre = 2;

// Share of the calls of each route, and the median latency of its responses in seconds.
constexpr std::array<double, routeCount> routeTraffic{0.5, 0.25, 0.15, 0.1};
constexpr std::array<double, routeCount> routeMedian{0.008, 0.02, 0.04, 0.08};

// All times are in seconds since the move was accepted.
struct move_setup {
    scenario kind = scenario::Good;
    bool isBad = false;
    // The error rate of both versions at any time.
    double baselineErrorRate = 0;
    double newLatencyFactor = 1;
    // The fault of the new version or, in the good scenarios, of the environment.
    double faultStart = 0;
    double faultEnd = 1e18;
    double faultRate = 0;
    double slowFactor = 1;
    // The new version is faulty only while its share of the traffic is at least this.
    double minFaultyShare = 0;
    // Index of the only faulty route, or routeCount for all.
    std::size_t route = routeCount;
    bool downstreamOfNewOnly = false;
    double partitionStart = 1e18;
    double partitionEnd = 1e18;
};

inline double uniform(core::random_engine &engine, double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(engine);
}

inline bool isBadScenario(scenario kind)
{
    switch (kind) {
    case scenario::BadAtOnce:
    case scenario::BadLater:
    case scenario::BadUnderLoad:
    case scenario::BadOnOneRoute:
    case scenario::SlowOnly:
    case scenario::PartitionBad:
    case scenario::BadAfterDone:
        return true;
    default:
        return false;
    }
}

namespace internal {

inline void
setBad(move_setup &setup, double window, double leastFaultRate, core::random_engine &engine)
{
    setup.faultRate = uniform(engine, leastFaultRate, 1.0);
    switch (setup.kind) {
    case scenario::BadLater:
        setup.faultStart = uniform(engine, 0.05 * window, 0.95 * window);
        return;
    case scenario::BadUnderLoad:
        setup.minFaultyShare = uniform(engine, 0.2, 0.9);
        return;
    case scenario::BadOnOneRoute:
        setup.route = std::uniform_int_distribution<std::size_t>(0, routeCount - 1)(engine);
        return;
    case scenario::SlowOnly:
        setup.faultRate = 0;
        setup.slowFactor = uniform(engine, 3, 10);
        return;
    case scenario::PartitionBad:
        setup.partitionStart = uniform(engine, 0.2 * window, 0.7 * window);
        setup.partitionEnd = setup.partitionStart + uniform(engine, 120, 600);
        setup.faultStart = setup.partitionStart + uniform(engine, 5, 60);
        return;
    case scenario::BadAfterDone:
        setup.faultStart = uniform(engine, window, window + 240);
        return;
    default:
        return;
    }
}

inline void setEnvironmentFault(move_setup &setup, double window, core::random_engine &engine)
{
    setup.faultStart = uniform(engine, 0.05 * window, 0.95 * window);
    switch (setup.kind) {
    case scenario::SharedFault:
        setup.faultRate = uniform(engine, 0.2, 0.9);
        setup.faultEnd = setup.faultStart + uniform(engine, 20, 180);
        return;
    case scenario::SharedBlip:
        setup.faultRate = uniform(engine, 0.2, 0.9);
        setup.faultEnd = setup.faultStart + uniform(engine, 1, 5);
        return;
    case scenario::DownstreamCause:
        setup.faultRate = uniform(engine, 0.2, 0.9);
        setup.faultEnd = setup.faultStart + uniform(engine, 20, 180);
        setup.downstreamOfNewOnly = uniform(engine, 0, 1) < 0.5;
        return;
    case scenario::Overload:
        setup.faultRate = uniform(engine, 0.2, 0.6);
        setup.faultEnd = setup.faultStart + uniform(engine, 60, 300);
        setup.slowFactor = uniform(engine, 1.5, 4);
        return;
    case scenario::PartitionGood:
        setup.partitionStart = setup.faultStart;
        setup.partitionEnd = setup.partitionStart + uniform(engine, 120, 600);
        return;
    default:
        return;
    }
}

} // namespace internal

inline move_setup
makeSetup(scenario kind, double window, double leastFaultRate, core::random_engine &engine)
{
    move_setup setup;
    setup.kind = kind;
    setup.isBad = isBadScenario(kind);
    setup.baselineErrorRate = std::exp(uniform(engine, std::log(0.0005), std::log(0.01)));
    setup.newLatencyFactor = uniform(engine, 0.9, 1.1);
    if (setup.isBad) {
        internal::setBad(setup, window, leastFaultRate, engine);
    } else {
        internal::setEnvironmentFault(setup, window, engine);
    }
    return setup;
}

} // namespace jackdawweir::bench
