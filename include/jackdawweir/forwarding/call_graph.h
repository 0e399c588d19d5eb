// Learns which calls the runs of a host's backend server make to other services, and how many of
// these calls are refused.
//
// A server makes its calls through the node of its own host, like any caller there. A call expires
// with the run that made it, or earlier: so some requests of a route that servers call have the
// deadline of a run, while those of other routes have it only by chance. How many do so by chance
// is counted at deadlines shortly before and after.
//
//     call_graph calls;
//     calls.beginRun(run, route, deadline, now);
//     const bool isCall = calls.isCall(calledRoute, callDeadline, now);
//     calls.recordCall(calledRoute, service, call_result::Refused, now);
//     calls.endRun(run);
//     const std::vector<downstream_load> stated = calls.loadsOf(route, now);

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/forwarding/downstream_load.h"

namespace jackdawweir::forwarding {

struct call_graph_settings {
    // The deadline of a run may lie this much before and after that of its call: both are rounded
    // down to milliseconds on their way.
    std::chrono::microseconds earliestDeadline{500};
    std::chrono::microseconds latestDeadline{2'500};
    // The distance of the deadlines at which chance is counted.
    std::chrono::milliseconds chanceDistance{20};
    // A route is called by runs if at least this many of its latest requests, and this fraction of
    // them, have the deadline of a run, beyond twice the number expected by chance.
    double minMatches = 4;
    double minMatchedFraction = 0.05;
    // A count of matches loses half of its weight after this time.
    std::chrono::milliseconds matchHalfLife{10'000};
    // A count of runs or calls loses half of its weight after this time.
    std::chrono::milliseconds countHalfLife{2'000};
    // The weight of the latest call in the moving average of the refused share.
    double refusalWeight = 0.1;
    // The refused share loses half of its value after this time without a call.
    std::chrono::milliseconds refusalHalfLife{1'000};
    // Fewer calls per run are not stated.
    double minCallsPerRun = 0.02;
};

enum class call_result : std::uint8_t {
    NotRefused, // It ran, or did not run for another reason than a lack of room.
    Refused, // No server had room for it in time.
};

class call_graph
{
public:
    explicit call_graph(const call_graph_settings &settings = {});

    // Records that the server of the host begins to run a request of the route. Its calls expire at
    // `deadline`.
    void beginRun(std::uint64_t run,
                  const core::route_name &route,
                  core::monotonic_time deadline,
                  core::monotonic_time now);
    void endRun(std::uint64_t run);

    // Counts a request of a caller or server of the host. Returns true if runs make the requests
    // of its route.
    bool
    isCall(const core::route_name &route, core::monotonic_time deadline, core::monotonic_time now);

    // Records how a call of the route to a service ended.
    void recordCall(const core::route_name &route,
                    const core::service_name &service,
                    call_result result,
                    core::monotonic_time now);

    // Returns what the runs of the route ask of other services.
    std::vector<downstream_load> loadsOf(const core::route_name &route,
                                         core::monotonic_time now) const;

private:
    // A count whose earlier parts weigh less.
    class decaying_count
    {
    public:
        void add(double value, core::monotonic_time now, std::chrono::milliseconds halfLife);
        double valueAt(core::monotonic_time now, std::chrono::milliseconds halfLife) const;

    private:
        double m_value = 0;
        core::monotonic_time m_countedAt;
    };

    // The requests of one route that reach the node from its own host.
    struct local_requests {
        decaying_count all;
        decaying_count matches;
        // Matches at shifted deadlines.
        decaying_count chance;
        // The matches by the route of the run.
        std::map<core::route_name, decaying_count> callers;
    };

    struct route_calls {
        decaying_count runs;
        std::map<core::service_name, decaying_count> calls;
    };

    struct refused_share {
        double value = 0;
        core::monotonic_time recordedAt;
    };

    // Returns the route of a run with this deadline, if any.
    const core::route_name *findRun(core::monotonic_time deadline) const;
    bool isCalledByRuns(const local_requests &requests, core::monotonic_time now) const;
    double valueAt(const refused_share &share, core::monotonic_time now) const;

    call_graph_settings m_settings;
    std::map<core::route_name, local_requests> m_requests;
    // By the route of the run.
    std::map<core::route_name, route_calls> m_routes;
    std::map<core::service_name, refused_share> m_refused;
    // The runs in progress, by number and by deadline.
    std::map<std::uint64_t, core::monotonic_time> m_deadlines;
    std::multimap<core::monotonic_time, std::pair<std::uint64_t, core::route_name>> m_runs;
};

} // namespace jackdawweir::forwarding
