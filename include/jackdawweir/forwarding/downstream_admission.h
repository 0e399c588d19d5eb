// Decides at the node of the caller whether a request begins whose run will call a service that has
// no room for the calls.
//
// Answers overload of a service that is called by the runs of others: a run whose call is refused
// has taken the time of its own server, and of the servers that answered its earlier calls, for
// nothing. Requests beyond the room are refused before any server works for them, the least urgent
// first.
//
// The room becomes known from the answers of the nodes beside the calling servers, which state the
// calls of their runs and the share of these that was refused. For each called service a node
// admits a share of the calls that its requests would cause. The share falls while calls are
// refused, and rises slowly while none are; it never falls to zero, so that new room is noticed.
// Without such answers everything is admitted.
//
//     downstream_admission admission;
//     admission.record(route, answer.load.downstream, now);
//     const downstream_decision decision = admission.decide(request, now, engine);

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/forwarding/downstream_load.h"

namespace jackdawweir::forwarding {

struct downstream_admission_settings {
    // The weight of the latest statement in the moving averages.
    double statementWeight = 0.2;
    // A refused share that was stated loses half of its value after this time, so that room is
    // assumed again once nothing is heard.
    std::chrono::milliseconds statementHalfLife{1'000};
    // This share of calls may be refused without a reaction: single servers refuse some calls while
    // they start, stop or pause.
    double toleratedRefusals = 0.02;
    // The admitted share is adjusted once in this time.
    std::chrono::milliseconds adjustInterval{100};
    // The relative decrease for each interval in which all calls are refused.
    double decrease = 0.5;
    // The increase for each interval in which no more calls than tolerated are refused.
    double increase = 0.015;
    // The least share of a rank that is admitted, to notice new room.
    double minShare = 0.05;
    // Demand loses half of its weight after this time.
    std::chrono::milliseconds demandHalfLife{1'000};
    // A request is refused for lack of room only if its runs make this many calls or more on
    // average.
    double minCallsPerRun = 0.1;
    // The delays after which a refused caller is asked to retry, where all and where nearly no
    // requests are admitted.
    std::chrono::milliseconds minRetryAfter{250};
    std::chrono::milliseconds maxRetryAfter{900};
};

// A caller's request that no server runs yet.
struct downstream_request {
    core::route_name route;
    // Zero is the most urgent.
    std::uint32_t rank = 0;
    // The time for which its caller has waited already; zero for a caller's first attempt.
    std::chrono::milliseconds priorWait{0};
};

struct downstream_decision {
    bool isAdmitted = true;
    // The service that has no room, and the delay until a retry may be admitted.
    core::service_name service;
    std::chrono::milliseconds retryAfter{0};
};

class downstream_admission
{
public:
    explicit downstream_admission(const downstream_admission_settings &settings = {});

    // Records what the node beside a server stated about the calls that runs of the route make.
    void record(const core::route_name &route,
                const std::vector<downstream_load> &stated,
                core::monotonic_time now);

    // Decides on a caller's request. It counts as demand also if it is refused.
    downstream_decision decide(const downstream_request &request,
                               core::monotonic_time now,
                               core::random_engine &engine);

    // Returns true if a service that runs of the route call refuses calls. Another run would make
    // the calls again.
    bool isShort(const core::route_name &route, core::monotonic_time now) const;

    // Returns the least share that is admitted for any service; one without a limit.
    double leastShare() const;

private:
    struct called_service {
        double refusedShare = 0;
        core::monotonic_time statedAt;
        double admittedShare = 1;
        core::monotonic_time adjustedAt;
        // The calls that requests would cause, by rank. Earlier ones weigh less.
        std::map<std::uint32_t, double> demand;
        core::monotonic_time demandAt;
    };

    using calls_by_service = std::map<core::service_name, double>;

    double refusedShareAt(const called_service &called, core::monotonic_time now) const;
    void adjust(called_service &called, core::monotonic_time now) const;
    void countDemand(called_service &called,
                     std::uint32_t rank,
                     double calls,
                     core::monotonic_time now) const;
    // Returns the share of the requests of a rank that is admitted.
    double shareOfRank(const called_service &called, std::uint32_t rank) const;
    std::chrono::milliseconds retryAfter(double admittedShare) const;

    downstream_admission_settings m_settings;
    std::map<core::route_name, calls_by_service> m_callsPerRun;
    std::map<core::service_name, called_service> m_services;
};

} // namespace jackdawweir::forwarding
