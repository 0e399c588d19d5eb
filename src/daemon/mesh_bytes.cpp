#include "daemon/mesh_bytes.h"

namespace jackdawweir::daemon {

namespace {

void addIncrease(std::uint64_t total,
                 std::uint64_t &previous,
                 wire::channel purpose,
                 observe::byte_direction direction,
                 observe::metrics &metrics)
{
    if (total != previous) {
        metrics.addControlBytes(purpose, direction, total - previous);
        previous = total;
    }
}

} // namespace

void exportMeshBytes(const transport::mesh_transport &mesh,
                     observe::metrics &metrics,
                     exported_bytes &exported)
{
    for (std::size_t index = 1; index < transport::channelCount; ++index) {
        const auto purpose = static_cast<wire::channel>(index);
        const transport::channel_bytes &bytes = mesh.bytes(purpose);
        addIncrease(
            bytes.sent, exported.sent[index], purpose, observe::byte_direction::Sent, metrics);
        addIncrease(bytes.received,
                    exported.received[index],
                    purpose,
                    observe::byte_direction::Received,
                    metrics);
    }
}

} // namespace jackdawweir::daemon
