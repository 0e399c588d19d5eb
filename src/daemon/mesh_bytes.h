// Copies the byte counts of a transport into the metrics.

#pragma once

#include <array>
#include <cstdint>

#include "jackdawweir/observe/metrics.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::daemon {

// What was copied before, by channel.
struct counted_bytes {
    std::array<std::uint64_t, transport::channelCount> sent{};
    std::array<std::uint64_t, transport::channelCount> received{};
};

void countMeshBytes(const transport::mesh_transport &mesh,
                    observe::metrics &metrics,
                    counted_bytes &counted);

} // namespace jackdawweir::daemon
