// Parses and formats times and durations as operators write them, and checks text encodings.
//
//     std::optional<core::wall_time> doneBy = parseTime("2026-12-04T06:00:00Z");

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::document {

// Parses an RFC 3339 time in UTC ("Z") between the years 2000 and 2199. Returns nullopt for other
// text.
std::optional<core::wall_time> parseTime(const std::string &text);

// Returns the RFC 3339 form in UTC, with a fraction only if it is not zero.
std::string formatTime(core::wall_time time);

// Parses a whole number directly followed by its unit: ms, s, min or h. There is no unit "m", so
// that a truncated "800ms" is not a valid duration. Returns nullopt for other text.
std::optional<std::chrono::milliseconds> parseDuration(const std::string &text);

// Returns the duration in seconds if it is a whole number of seconds, else in milliseconds.
std::string formatDuration(std::chrono::milliseconds duration);

// Returns true when the bytes are well-formed UTF-8 without control characters other than tab and
// line ends.
bool isPlainUtf8(std::string_view bytes);

} // namespace jackdawweir::document
