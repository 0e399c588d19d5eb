// Tracks the work that each workspace has lately had done at one backend server, compared with its
// share. A workspace above its share yields to the others while the server has too little room.
//
//     const std::uint32_t excess = shares.excessOf(request.workspace, runTime, now);
//     shares.charge(request.workspace, runTime, now);
//
// The state holds only the workspaces whose work is not yet forgotten.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/policy/model.h"

namespace jackdawweir::forwarding {

struct workspace_share_settings {
    // Work counts for less with its age, by half in about 0.7 of this time.
    std::chrono::milliseconds memory{2'000};
    // A workspace without work for this long has no part in the sharing.
    std::chrono::milliseconds idleAfter{10'000};
    // A workspace is within its share up to this multiple of it and one request more. Requests of a
    // small workspace come at random times, so its recent work varies.
    double tolerance = 1.5;
    std::uint32_t maxExcess = 8;
};

// A workspace with the weight of its share.
struct weighted_workspace {
    policy::workspace_name name;
    double weight = 1;
};

class workspace_shares
{
public:
    explicit workspace_shares(const workspace_share_settings &settings);

    // Counts work that a request of the workspace takes.
    void charge(const weighted_workspace &workspace,
                std::chrono::microseconds work,
                core::monotonic_time now);

    // Takes back the charge of a request that did not run.
    void refund(const policy::workspace_name &workspace,
                std::chrono::microseconds work,
                core::monotonic_time now);

    // Returns 0 for a workspace within its share, and otherwise how many times its recent work is
    // what it may have at most. A caller without a workspace is always within its share.
    std::uint32_t excessOf(const weighted_workspace &workspace,
                           std::chrono::microseconds runTime,
                           core::monotonic_time now) const;

    // Returns the number of workspaces whose work is not forgotten.
    std::size_t size() const;

private:
    struct recent_work {
        double seconds = 0;
        double weight = 1;
        core::monotonic_time updatedAt;
        core::monotonic_time chargedAt;
    };

    double decayed(const recent_work &work, core::monotonic_time now) const;
    void add(recent_work &work, double seconds, core::monotonic_time now) const;
    void forgetIdle(core::monotonic_time now);

    workspace_share_settings m_settings;
    std::map<policy::workspace_name, recent_work> m_workspaces;
    recent_work m_total;
    double m_totalWeight = 0;
    core::monotonic_time m_checkedAt;
};

} // namespace jackdawweir::forwarding
