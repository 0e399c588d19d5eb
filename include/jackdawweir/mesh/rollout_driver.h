// Gathers what nodes saw of the rollouts that run and decides on them while this source leads.
//
//     rollout_driver driver;
//     driver.report(host, report.rollouts, now);
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
    // Takes in a node's counts, which only grow during one start of the node.
    void report(const core::host_name &host,
                const std::vector<fleet::rollout_report> &reports,
                core::monotonic_time now);

    // A rollout was ordered now, so its time is measured by the steady clock.
    void begun(std::uint64_t rollout, core::monotonic_time now);

    std::vector<policy::advance_rollout> decide(const policy::policy_view &view,
                                                const std::vector<fleet::host_record> &hosts,
                                                core::monotonic_time now,
                                                core::wall_time wallNow);

private:
    struct host_report {
        fleet::rollout_report last;
        core::monotonic_time heardAt;
    };

    // The sums of all nodes at one time.
    struct counted_sums {
        core::monotonic_time at;
        policy::route_counts target;
        policy::route_counts previous;
    };

    void addRecent(std::uint64_t rollout, policy::rollout_evidence &seen, core::monotonic_time now);
    policy::rollout_evidence evidenceFor(const policy::rollout &running,
                                         const std::vector<fleet::host_record> &hosts,
                                         core::monotonic_time now) const;
    std::chrono::nanoseconds
    elapsedOf(const policy::rollout &running, core::monotonic_time now, core::wall_time wallNow);

    policy::rollout_controller m_controller;
    std::map<std::uint64_t, core::monotonic_time> m_begunAt;
    std::map<std::uint64_t, std::map<core::host_name, host_report>> m_reports;
    std::map<std::uint64_t, std::deque<counted_sums>> m_history;
};

} // namespace jackdawweir::mesh
