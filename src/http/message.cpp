#include "jackdawweir/http/message.h"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/status.hpp>

namespace jackdawweir::http {

namespace {

// The hop-by-hop headers of RFC 9110, section 7.6.1, and those that older peers use.
constexpr std::array<std::string_view, 9> connectionHeaders{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Transfer-Encoding",
                                                            "TE",
                                                            "Trailer",
                                                            "Upgrade",
                                                            "Expect",
                                                            "Content-Length"};

bool sameName(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase({left.data(), left.size()}, {right.data(), right.size()});
}

void appendHeaders(std::string &bytes, const header_list &headers)
{
    for (const header &each : headers) {
        absl::StrAppend(&bytes, each.name, ": ", each.value, "\r\n");
    }
}

bool statusHasBody(unsigned status)
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    constexpr unsigned firstFinal = 200;
    return status >= firstFinal && status != noContent && status != notModified;
}

} // namespace

const std::string *findHeader(const header_list &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const header &each) {
        return sameName(each.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

void removeHeader(header_list &headers, std::string_view name)
{
    std::erase_if(headers, [name](const header &each) { return sameName(each.name, name); });
}

void setHeader(header_list &headers, std::string_view name, std::string value)
{
    removeHeader(headers, name);
    headers.push_back(header{std::string(name), std::move(value)});
}

void removeConnectionHeaders(header_list &headers)
{
    std::vector<std::string> named;
    for (const header &each : headers) {
        if (!sameName(each.name, "Connection")) {
            continue;
        }
        for (const absl::string_view token : absl::StrSplit(each.value, ',')) {
            named.emplace_back(absl::StripAsciiWhitespace(token));
        }
    }
    for (const std::string &each : named) {
        removeHeader(headers, each);
    }
    for (const std::string_view each : connectionHeaders) {
        removeHeader(headers, each);
    }
}

std::string serialize(const request &sent)
{
    std::string bytes = absl::StrCat(sent.method, " ", sent.target, " HTTP/1.1\r\n");
    appendHeaders(bytes, sent.headers);
    const bool hasBody = !sent.body.empty() || sent.method == "POST" || sent.method == "PUT"
        || sent.method == "PATCH";
    if (hasBody) {
        absl::StrAppend(&bytes, "Content-Length: ", sent.body.size(), "\r\n");
    }
    absl::StrAppend(&bytes, "\r\n", sent.body);
    return bytes;
}

std::string serialize(const response &sent, bool isHead)
{
    std::string bytes;
    appendResponse(bytes, sent, isHead);
    return bytes;
}

void appendResponse(std::string &bytes, const response &sent, bool isHead)
{
    const auto reason
        = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(sent.status));
    const bool hasBody = statusHasBody(sent.status);
    absl::StrAppend(&bytes,
                    "HTTP/1.1 ",
                    sent.status,
                    " ",
                    absl::string_view(reason.data(), reason.size()),
                    "\r\n");
    appendHeaders(bytes, sent.headers);
    if (hasBody) {
        absl::StrAppend(&bytes, "Content-Length: ", sent.body.size(), "\r\n");
    }
    if (sent.closesConnection) {
        bytes.append("Connection: close\r\n");
    }
    bytes.append("\r\n");
    if (!isHead && hasBody) {
        bytes.append(sent.body);
    }
}

} // namespace jackdawweir::http
