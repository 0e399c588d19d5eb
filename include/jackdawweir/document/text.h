// Times, durations and encodings as operators write them.
//
//     std::optional<core::wall_time> doneBy = parseTime("2026-12-04T06:00:00Z");

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::document {

// Reads an RFC 3339 time in UTC ("Z") from the year 2000 to 2199. Returns nothing for other text.
std::optional<core::wall_time> parseTime(const std::string &text);

// Returns the RFC 3339 form in UTC, with a fraction only where it is not zero.
std::string formatTime(core::wall_time time);

// Reads a whole number directly followed by its unit: ms, s, min or h. There is no "m", so that
// "800ms" cut short is no valid duration. Returns nothing for other text.
std::optional<std::chrono::milliseconds> parseDuration(const std::string &text);

// Returns the duration in seconds where it is a whole number of them, else in milliseconds.
std::string formatDuration(std::chrono::milliseconds duration);

// Returns true when the bytes are well-formed UTF-8 without control characters other than tab and
// line ends.
bool isPlainUtf8(std::string_view bytes);

} // namespace jackdawweir::document
