#include "jackdawweir/forwarding/cold_ramp.h"

#include <cstdint>
#include <string>

#include "jackdawweir/core/digest.h"

namespace jackdawweir::forwarding {

std::chrono::microseconds firstContactDelay(const core::host_name &host,
                                            const fleet::instance_name &instance,
                                            std::size_t callers,
                                            double requestsPerSecond)
{
    if (requestsPerSecond <= 0) {
        return std::chrono::microseconds(0);
    }
    constexpr std::uint64_t positions = 1U << 20U;
    const std::uint64_t position = core::checksumOf(host.value + "\n" + instance.value) % positions;
    const double fraction = static_cast<double>(position) / static_cast<double>(positions);
    const std::chrono::duration<double> span(static_cast<double>(callers) / requestsPerSecond);
    return std::chrono::duration_cast<std::chrono::microseconds>(fraction * span);
}

} // namespace jackdawweir::forwarding
