// The version of a configuration.

#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "jackdawweir/core/digest.h"
#include "jackdawweir/core/error.h"

namespace jackdawweir::core {

// Versions are ordered by (epoch, number). The epoch is the agreement term in which the version was
// committed, so that two documents never share a version, even when operators submit concurrently.
struct config_version {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    digest contentDigest;

    // Returns true for the version held before any configuration was received.
    bool isNone() const
    {
        return epoch == 0 && number == 0;
    }

    friend bool operator==(const config_version &, const config_version &) = default;

    friend std::strong_ordering operator<=>(const config_version &left, const config_version &right)
    {
        if (const auto order = left.epoch <=> right.epoch; order != 0) {
            return order;
        }
        if (const auto order = left.number <=> right.number; order != 0) {
            return order;
        }
        return left.contentDigest <=> right.contentDigest;
    }

    MSGPACK_DEFINE_ARRAY(epoch, number, contentDigest)
};

// Formats a version as "epoch.number-digest", which parseConfigVersion reads back.
std::string toString(const config_version &version);

// Reads "epoch.number-digest". Errors: InvalidArgument.
result<config_version> parseConfigVersion(const std::string &text);

} // namespace jackdawweir::core
