#include "jackdawweir/mesh/caller_credentials.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace jackdawweir::mesh {

namespace {

// Returns the key in a header value of the form "SCHEME KEY", or an empty text. Schemes are
// case-insensitive.
std::string parseApiKey(absl::string_view value, const std::string &scheme)
{
    value = absl::StripAsciiWhitespace(value);
    if (!absl::StartsWithIgnoreCase(value, scheme)) {
        return "";
    }
    const absl::string_view rest = value.substr(scheme.size());
    const bool isSchemeWhole = !rest.empty() && (rest.front() == ' ' || rest.front() == '\t');
    return isSchemeWhole ? std::string(absl::StripAsciiWhitespace(rest)) : "";
}

} // namespace

caller_credentials takeCredentials(http::header_list &headers,
                                   const forwarding::header_names &names)
{
    caller_credentials taken;
    for (const http::header &each : headers) {
        if (absl::EqualsIgnoreCase(each.name, names.apiKey)) {
            taken.headers.push_back(each);
        }
    }
    if (taken.headers.empty()) {
        return taken;
    }
    http::removeHeader(headers, names.apiKey);
    const std::string value
        = absl::StrJoin(taken.headers, ", ", [](std::string *joined, const http::header &each) {
              absl::StrAppend(joined, each.value);
          });
    taken.apiKey = parseApiKey(value, names.apiKeyScheme);
    return taken;
}

} // namespace jackdawweir::mesh
