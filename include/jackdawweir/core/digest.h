// Content digests and checksums by xxHash. They detect corruption and distinguish documents;
// they do not protect against forgery.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace jackdawweir::core {

// A 128-bit XXH3 digest.
struct digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const digest &, const digest &) = default;

    MSGPACK_DEFINE_ARRAY(high, low)
};

digest digestOf(std::string_view bytes);

// Returns 32 lower-case hexadecimal digits.
std::string toString(const digest &value);

// Returns the XXH3-64 checksum that protects stored records.
std::uint64_t checksumOf(std::string_view bytes);

} // namespace jackdawweir::core
