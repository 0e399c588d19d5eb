#include "jackdawweir/ledger/request_key.h"

#include <charconv>
#include <string>
#include <string_view>
#include <system_error>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

namespace jackdawweir::ledger {

namespace {

// In the year 2286; later times need an eleventh digit.
constexpr std::int64_t maxSeconds = 9'999'999'999;

core::error keyError(core::error_code code, std::string message)
{
    return core::error{code, "check-request-key", "", std::move(message)};
}

bool isKeyCharacter(char character)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-'
        || character == '_';
}

} // namespace

core::result<core::wall_time> issueTimeOf(const core::request_key &key)
{
    const std::string_view text = key.value;
    const auto malformed = [] {
        return keyError(
            core::error_code::InvalidArgument,
            "a request key is '<unix seconds>-<random>' of at most 128 letters, digits, "
            "'-' and '_'");
    };
    const std::size_t hyphen = text.find('-');
    if (text.size() > maxKeyBytes || hyphen == std::string_view::npos
        || hyphen + 1 == text.size()) {
        return malformed();
    }
    for (const char each : text) {
        if (!isKeyCharacter(each)) {
            return malformed();
        }
    }
    std::int64_t seconds = 0;
    const char *end = text.data() + hyphen;
    const auto [parsedEnd, failure] = std::from_chars(text.data(), end, seconds);
    if (failure != std::errc() || parsedEnd != end || seconds < 0 || seconds > maxSeconds) {
        return malformed();
    }
    return core::wall_time(std::chrono::seconds(seconds));
}

core::status checkKey(const core::request_key &key, core::wall_time now)
{
    const core::result<core::wall_time> issued = issueTimeOf(key);
    if (const core::error *failure = core::errorIn(issued)) {
        return *failure;
    }
    if (now - core::valueIn(issued) > keyLifetime) {
        return keyError(core::error_code::DeadlineExceeded,
                        "the request key is older than one hour, an earlier attempt may have run");
    }
    if (core::valueIn(issued) - now > maxAhead) {
        return keyError(core::error_code::DeadlineExceeded,
                        "the request key is more than one minute ahead of this host's clock");
    }
    return core::okStatus();
}

core::request_key newKey(core::wall_time now, core::random_engine &engine)
{
    const auto seconds
        = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    return core::request_key{absl::StrCat(seconds,
                                          "-",
                                          absl::Hex(engine(), absl::kZeroPad16),
                                          absl::Hex(engine(), absl::kZeroPad16))};
}

} // namespace jackdawweir::ledger
