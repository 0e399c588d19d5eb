#include "jackdawweir/core/config_version.h"

#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace jackdawweir::core {

namespace {

constexpr std::size_t digestHexDigits = 32;
constexpr std::size_t wordHexDigits = 16;

} // namespace

std::string toString(const config_version &version)
{
    return absl::StrCat(version.epoch, ".", version.number, "-", toString(version.contentDigest));
}

result<config_version> parseConfigVersion(const std::string &text)
{
    const error malformed{error_code::InvalidArgument,
                          "parse-version",
                          "",
                          absl::StrCat("expected EPOCH.NUMBER-DIGEST, got '", text, "'")};
    const std::vector<std::string> parts = absl::StrSplit(text, absl::ByAnyChar(".-"));
    if (parts.size() != 3 || parts[2].size() != digestHexDigits) {
        return malformed;
    }
    config_version version;
    const bool parsed = absl::SimpleAtoi(parts[0], &version.epoch)
        && absl::SimpleAtoi(parts[1], &version.number)
        && absl::SimpleHexAtoi(parts[2].substr(0, wordHexDigits), &version.contentDigest.high)
        && absl::SimpleHexAtoi(parts[2].substr(wordHexDigits), &version.contentDigest.low);
    if (!parsed) {
        return malformed;
    }
    return version;
}

} // namespace jackdawweir::core
