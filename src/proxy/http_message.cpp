#include "jackdawweir/proxy/http_message.h"

#include <algorithm>
#include <array>

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

namespace jackdawweir::proxy {

namespace {

// The headers of RFC 9110 section 7.6.1, and Host, Content-Length and Expect, which each hop sets
// itself.
constexpr std::array hopByHopHeaders{"connection",
                                     "content-length",
                                     "expect",
                                     "host",
                                     "keep-alive",
                                     "proxy-authenticate",
                                     "proxy-authorization",
                                     "proxy-connection",
                                     "te",
                                     "trailer",
                                     "transfer-encoding",
                                     "upgrade"};

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase(absl::string_view(left.data(), left.size()),
                                  absl::string_view(right.data(), right.size()));
}

} // namespace

std::optional<std::string> findHeader(const http_headers &headers, std::string_view name)
{
    for (const http_header &each : headers) {
        if (equalsIgnoreCase(each.name, name)) {
            return each.value;
        }
    }
    return std::nullopt;
}

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [name](const char *each) {
        return equalsIgnoreCase(name, each);
    });
}

} // namespace jackdawweir::proxy
