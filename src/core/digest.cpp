#include "jackdawweir/core/digest.h"

#include <absl/strings/str_cat.h>

#include <xxhash.h>

namespace jackdawweir::core {

digest digestOf(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return digest{hash.high64, hash.low64};
}

std::string toString(const digest &value)
{
    return absl::StrCat(absl::Hex(value.high, absl::kZeroPad16),
                        absl::Hex(value.low, absl::kZeroPad16));
}

std::uint64_t checksumOf(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace jackdawweir::core
