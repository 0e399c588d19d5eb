// Learns which calls the runs of a host's backend server make to other services, and how many of
// these calls are refused. A server makes its calls through the node of its own host, and a call
// expires with the run that made it, so the deadline of a call tells the run.
//
//     call_graph calls;
//     calls.beginRun(run, route, deadline, now);
//     const std::optional<core::route_name> caller = calls.findCaller(callDeadline);
//     calls.recordCall(*caller, service, call_result::Refused, now);
//     calls.endRun(run);
//     const std::vector<downstream_load> stated = calls.loadsOf(route, now);

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/forwarding/downstream_load.h"

namespace jackdawweir::forwarding {

struct call_graph_settings {
    // The deadlines of a call and of its run are both rounded to milliseconds on their way.
    std::chrono::milliseconds deadlineTolerance{3};
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
    Served, // A server answered, whatever its answer was.
    Refused, // No server took it in time.
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

    // Returns the route of the run with this deadline, or nothing if no run of the host has it.
    std::optional<core::route_name> findCaller(core::monotonic_time deadline) const;

    // Records how a call to a service ended that a run of the route has made.
    void recordCall(const core::route_name &caller,
                    const core::service_name &service,
                    call_result result,
                    core::monotonic_time now);

    // Returns what the runs of the route ask of other services.
    std::vector<downstream_load> loadsOf(const core::route_name &route,
                                         core::monotonic_time now) const;

private:
    // A count whose earlier parts weigh less.
    struct decaying_count {
        double value = 0;
        core::monotonic_time countedAt;
    };

    struct route_calls {
        decaying_count runs;
        std::map<core::service_name, decaying_count> calls;
    };

    struct refused_share {
        double value = 0;
        core::monotonic_time recordedAt;
    };

    double valueAt(const decaying_count &count, core::monotonic_time now) const;
    void add(decaying_count &count, core::monotonic_time now) const;
    double valueAt(const refused_share &share, core::monotonic_time now) const;

    call_graph_settings m_settings;
    std::map<core::route_name, route_calls> m_routes;
    std::map<core::service_name, refused_share> m_refused;
    // The runs in progress, by number and by deadline.
    std::map<std::uint64_t, core::monotonic_time> m_deadlines;
    std::multimap<core::monotonic_time, std::pair<std::uint64_t, core::route_name>> m_runs;
};

} // namespace jackdawweir::forwarding
