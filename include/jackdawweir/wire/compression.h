// Compression of long messages by zlib.
//
//     const std::string packed = compress(bytes);
//     core::result<std::string> unpacked = decompress(packed);

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "jackdawweir/core/error.h"

namespace jackdawweir::wire {

// What unpacks to more is refused, so that a small message can't fill the memory.
constexpr std::size_t maxUnpackedBytes = 16U << 20U;

std::string compress(std::string_view bytes);

// Errors: DataLoss where the bytes were not written by compress() or are above maxUnpackedBytes.
core::result<std::string> decompress(std::string_view bytes);

} // namespace jackdawweir::wire
