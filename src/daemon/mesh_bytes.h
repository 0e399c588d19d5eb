// Adds the byte counts of a transport to the metrics.

#pragma once

#include <array>
#include <cstdint>

#include "jackdawweir/observe/metrics.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::daemon {

// The byte counts by channel that have already been added to the metrics.
struct exported_bytes {
    std::array<std::uint64_t, transport::channelCount> sent{};
    std::array<std::uint64_t, transport::channelCount> received{};
};

// Adds the bytes since the previous call and updates `exported`.
void exportMeshBytes(const transport::mesh_transport &mesh,
                     observe::metrics &metrics,
                     exported_bytes &exported);

} // namespace jackdawweir::daemon
