// Collects the nodes' reports on running rollouts and decides on the rollouts while this source is
// the leader.
//
//     rollout_driver driver;
//     driver.addReports(host, report.rollouts, now);
//     for (const policy::advance_rollout &each : driver.decide(view, hosts, now, wallNow)) { ... }

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/fleet/messages.h"
#include "jackdawweir/fleet/records.h"
#include "jackdawweir/policy/policy_state.h"
#include "jackdawweir/policy/rollout_controller.h"

namespace jackdawweir::mesh {

class rollout_driver
{
public:
    explicit rollout_driver(const policy::rollout_limits &limits = {});

    // Stores the counts of a node, which only grow until the node restarts.
    void addReports(const core::host_name &host,
                    const std::vector<fleet::rollout_report> &reports,
                    core::monotonic_time now);

    // Records that a rollout starts now, so that its elapsed time is measured by the steady clock.
    void recordStart(std::uint64_t rollout, core::monotonic_time now);

    // Returns a command for each running rollout that has to change.
    std::vector<policy::advance_rollout> decide(const policy::policy_view &view,
                                                const std::vector<fleet::host_record> &hosts,
                                                core::monotonic_time now,
                                                core::wall_time wallNow);

private:
    struct received_report {
        fleet::rollout_report last;
        core::monotonic_time receivedAt;
    };

    // The counts of all nodes added up, at one time.
    struct count_snapshot {
        core::monotonic_time at;
        policy::route_counts target;
        policy::route_counts previous;
    };

    void
    addRecent(std::uint64_t rollout, policy::rollout_evidence &evidence, core::monotonic_time now);
    policy::rollout_evidence evidenceFor(const policy::rollout &running,
                                         const std::vector<fleet::host_record> &hosts,
                                         core::monotonic_time now) const;
    std::chrono::nanoseconds
    elapsedOf(const policy::rollout &running, core::monotonic_time now, core::wall_time wallNow);

    policy::rollout_controller m_controller;
    std::map<std::uint64_t, core::monotonic_time> m_startedAt;
    std::map<std::uint64_t, std::map<core::host_name, received_report>> m_reports;
    std::map<std::uint64_t, std::deque<count_snapshot>> m_history;
};

} // namespace jackdawweir::mesh
