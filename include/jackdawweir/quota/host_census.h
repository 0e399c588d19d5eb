// The nodes of the mesh as one of them knows them, including those that may be cut off.
//
//     host_census census(settings.rememberHosts);
//     census.update(listedHosts, now);
//     quotas.setPlace(census.placeOf(ownHost, now));
//
// The parts of a quota that both sides of a partition use must not exceed the whole, so a host that
// is no longer listed still counts, unless it was listed as leaving.

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/quota/node_quota.h"

namespace jackdawweir::quota {

struct listed_host {
    core::host_name host;
    bool isLeaving = false;
};

class host_census
{
public:
    explicit host_census(std::chrono::milliseconds rememberFor);

    // Replaces the listed hosts.
    void update(const std::vector<listed_host> &listed, core::monotonic_time now);
    // Returns the place of a host, which counts whether it is listed or not.
    node_place placeOf(const core::host_name &host, core::monotonic_time now);

private:
    struct known_host {
        bool isLeaving = false;
        // Absent while the host is listed.
        std::optional<core::monotonic_time> unlistedAt;
    };

    std::chrono::milliseconds m_rememberFor;
    std::map<core::host_name, known_host> m_hosts;
};

} // namespace jackdawweir::quota
