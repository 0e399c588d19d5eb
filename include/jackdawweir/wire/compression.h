// Compression of long messages by zlib.
//
//     const std::string compressed = compress(bytes);
//     core::result<std::string> decompressed = decompress(compressed);

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "jackdawweir/core/error.h"

namespace jackdawweir::wire {

// Messages that decompress to more are rejected, so that a small message cannot exhaust the memory.
constexpr std::size_t maxDecompressedBytes = 16U << 20U;

std::string compress(std::string_view bytes);

// Errors: DataLoss if the bytes were not written by compress() or decompress to more than
// maxDecompressedBytes.
core::result<std::string> decompress(std::string_view bytes);

} // namespace jackdawweir::wire
