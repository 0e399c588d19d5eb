#include "jackdawweir/wire/compression.h"

#include <cstring>

#include <boost/endian/buffers.hpp>
#include <zlib.h>

namespace jackdawweir::wire {

namespace {

// The unpacked size stands before the packed bytes.
using size_prefix = boost::endian::big_uint32_buf_t;

core::error damaged(const char *message)
{
    return core::error{core::error_code::DataLoss, "decompress", "", message};
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf packedSize = compressBound(bytes.size());
    std::string packed(sizeof(size_prefix) + packedSize, '\0');
    const size_prefix prefix(static_cast<std::uint32_t>(bytes.size()));
    std::memcpy(packed.data(), &prefix, sizeof prefix);
    // Fails only where the buffer is too small, which compressBound rules out.
    compress2(reinterpret_cast<Bytef *>(packed.data() + sizeof prefix),
              &packedSize,
              reinterpret_cast<const Bytef *>(bytes.data()),
              bytes.size(),
              Z_BEST_SPEED);
    packed.resize(sizeof prefix + packedSize);
    return packed;
}

core::result<std::string> decompress(std::string_view bytes)
{
    size_prefix prefix;
    if (bytes.size() < sizeof prefix) {
        return damaged("the message is too short");
    }
    std::memcpy(&prefix, bytes.data(), sizeof prefix);
    if (prefix.value() > maxUnpackedBytes) {
        return damaged("the message unpacks to too much");
    }
    std::string unpacked(prefix.value(), '\0');
    uLongf size = unpacked.size();
    const int outcome = uncompress(reinterpret_cast<Bytef *>(unpacked.data()),
                                   &size,
                                   reinterpret_cast<const Bytef *>(bytes.data() + sizeof prefix),
                                   bytes.size() - sizeof prefix);
    if (outcome != Z_OK || size != unpacked.size()) {
        return damaged("the message is damaged");
    }
    return unpacked;
}

} // namespace jackdawweir::wire
