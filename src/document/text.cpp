#include "jackdawweir/document/text.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <boost/locale/utf.hpp>

namespace jackdawweir::document {

namespace {

// The form "YYYY-MM-DDThh:mm:ss"; a "0" stands for any digit.
constexpr std::string_view timePattern = "0000-00-00T00:00:00";
constexpr std::size_t maxFractionDigits = 9;
// Nine digits of the largest unit (hours) are far below the overflow limit of the duration type.
constexpr std::size_t maxDurationDigits = 9;

struct duration_unit {
    const char *name;
    std::chrono::milliseconds length;
};

constexpr duration_unit durationUnits[] = {
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"min", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
};

bool allDigits(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
}

bool matchesTimePattern(std::string_view text)
{
    if (text.size() <= timePattern.size() || text.back() != 'Z') {
        return false;
    }
    for (std::size_t index = 0; index < timePattern.size(); ++index) {
        const bool digit = absl::ascii_isdigit(timePattern[index]);
        if (digit ? !absl::ascii_isdigit(text[index]) : text[index] != timePattern[index]) {
            return false;
        }
    }
    const std::string_view rest = text.substr(timePattern.size());
    if (rest == "Z") {
        return true;
    }
    const std::string_view digits = rest.substr(1, rest.size() - 2);
    return rest.front() == '.' && !digits.empty() && digits.size() <= maxFractionDigits
        && allDigits(digits);
}

bool isAllowedCharacter(boost::locale::utf::code_point character)
{
    constexpr boost::locale::utf::code_point deleteCharacter = 0x7f;
    if (character == '\t' || character == '\n' || character == '\r') {
        return true;
    }
    return character >= ' ' && character != deleteCharacter;
}

} // namespace

std::optional<core::wall_time> parseTime(const std::string &text)
{
    constexpr const char *firstYear = "2000";
    constexpr const char *yearAfterLast = "2200";
    constexpr std::size_t secondsOffset = 17;
    if (!matchesTimePattern(text) || text < firstYear || text >= yearAfterLast) {
        return std::nullopt;
    }
    // absl::ParseTime would convert a leap second into the first second of the next minute.
    if (text[secondsOffset] > '5') {
        return std::nullopt;
    }
    absl::Time parsed;
    std::string unused;
    if (!absl::ParseTime("%Y-%m-%dT%H:%M:%E*SZ", text, absl::UTCTimeZone(), &parsed, &unused)) {
        return std::nullopt;
    }
    return core::wall_time(std::chrono::nanoseconds(absl::ToUnixNanos(parsed)));
}

std::string formatTime(core::wall_time time)
{
    const std::chrono::nanoseconds sinceEpoch = time.time_since_epoch();
    return absl::FormatTime(
        "%Y-%m-%dT%H:%M:%E*SZ", absl::FromUnixNanos(sinceEpoch.count()), absl::UTCTimeZone());
}

std::optional<std::chrono::milliseconds> parseDuration(const std::string &text)
{
    const auto unitStart = std::find_if_not(text.begin(), text.end(), absl::ascii_isdigit);
    const std::string digits(text.begin(), unitStart);
    const std::string unit(unitStart, text.end());
    std::int64_t count = 0;
    if (digits.size() > maxDurationDigits || !absl::SimpleAtoi(digits, &count)) {
        return std::nullopt;
    }
    for (const duration_unit &each : durationUnits) {
        if (unit == each.name) {
            return each.length * count;
        }
    }
    return std::nullopt;
}

std::string formatDuration(std::chrono::milliseconds duration)
{
    constexpr std::chrono::milliseconds second{1000};
    if (duration % second == std::chrono::milliseconds::zero()) {
        return absl::StrCat(duration / second, "s");
    }
    return absl::StrCat(duration.count(), "ms");
}

bool isPlainUtf8(std::string_view bytes)
{
    const char *next = bytes.data();
    const char *const end = next + bytes.size();
    while (next != end) {
        const auto character = boost::locale::utf::utf_traits<char>::decode(next, end);
        if (!boost::locale::utf::is_valid_codepoint(character) || !isAllowedCharacter(character)) {
            return false;
        }
    }
    return true;
}

} // namespace jackdawweir::document
