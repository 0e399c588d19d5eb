#include "jackdawweir/wire/compression.h"

#include <cstring>

#include <boost/endian/buffers.hpp>
#include <zlib.h>

namespace jackdawweir::wire {

namespace {

// The decompressed size, which precedes the compressed bytes.
using size_prefix = boost::endian::big_uint32_buf_t;

core::error decompressError(const char *message)
{
    return core::error{core::error_code::DataLoss, "decompress", "", message};
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf compressedSize = compressBound(bytes.size());
    std::string compressed(sizeof(size_prefix) + compressedSize, '\0');
    const size_prefix prefix(static_cast<std::uint32_t>(bytes.size()));
    std::memcpy(compressed.data(), &prefix, sizeof prefix);
    // Fails only if the buffer is too small, which compressBound rules out.
    compress2(reinterpret_cast<Bytef *>(compressed.data() + sizeof prefix),
              &compressedSize,
              reinterpret_cast<const Bytef *>(bytes.data()),
              bytes.size(),
              Z_BEST_SPEED);
    compressed.resize(sizeof prefix + compressedSize);
    return compressed;
}

core::result<std::string> decompress(std::string_view bytes)
{
    size_prefix prefix;
    if (bytes.size() < sizeof prefix) {
        return decompressError("the message is shorter than its size prefix");
    }
    std::memcpy(&prefix, bytes.data(), sizeof prefix);
    if (prefix.value() > maxDecompressedBytes) {
        return decompressError("the message decompresses to more than the size limit");
    }
    std::string decompressed(prefix.value(), '\0');
    uLongf size = decompressed.size();
    const int outcome = uncompress(reinterpret_cast<Bytef *>(decompressed.data()),
                                   &size,
                                   reinterpret_cast<const Bytef *>(bytes.data() + sizeof prefix),
                                   bytes.size() - sizeof prefix);
    if (outcome != Z_OK || size != decompressed.size()) {
        return decompressError("the message cannot be decompressed to its stated size");
    }
    return decompressed;
}

} // namespace jackdawweir::wire
