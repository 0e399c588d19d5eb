#include "daemon/mesh_bytes.h"

namespace jackdawweir::daemon {

namespace {

void addSince(std::uint64_t total,
              std::uint64_t &before,
              wire::channel purpose,
              observe::byte_direction direction,
              observe::metrics &metrics)
{
    if (total != before) {
        metrics.addControlBytes(purpose, direction, total - before);
        before = total;
    }
}

} // namespace

void countMeshBytes(const transport::mesh_transport &mesh,
                    observe::metrics &metrics,
                    counted_bytes &counted)
{
    for (std::size_t index = 1; index < transport::channelCount; ++index) {
        const auto purpose = static_cast<wire::channel>(index);
        const transport::channel_bytes &bytes = mesh.bytes(purpose);
        addSince(bytes.sent, counted.sent[index], purpose, observe::byte_direction::Sent, metrics);
        addSince(bytes.received,
                 counted.received[index],
                 purpose,
                 observe::byte_direction::Received,
                 metrics);
    }
}

} // namespace jackdawweir::daemon
