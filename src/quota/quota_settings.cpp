#include "jackdawweir/quota/quota_settings.h"

#include <cmath>

#include "jackdawweir/core/digest.h"
#include "jackdawweir/quota/messages.h"

namespace jackdawweir::quota {

workspace_id idOf(const policy::workspace_name &name)
{
    return core::checksumOf(name.value);
}

double inSeconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

double decayFactor(std::chrono::nanoseconds elapsed, std::chrono::nanoseconds timeConstant)
{
    return std::exp(-inSeconds(elapsed) / inSeconds(timeConstant));
}

} // namespace jackdawweir::quota
