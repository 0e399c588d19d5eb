// HTTP requests and responses as the proxy handles them: fully buffered, with bounded bodies.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawweir::proxy {

// Requests with a larger body are refused with status 413. Responses are fully buffered before they
// are forwarded, so that a truncated response is never forwarded as complete.
constexpr std::size_t maxRequestBodyBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t maxResponseHeaderBytes = std::size_t{64} * 1024;
constexpr std::size_t maxResponseBodyBytes = std::size_t{16} * 1024 * 1024;

struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header &, const http_header &) = default;
};

using http_headers = std::vector<http_header>;

// Returns the first value of a header, or nothing. Names are compared case-insensitively.
std::optional<std::string> findHeader(const http_headers &headers, std::string_view name);

struct http_request {
    std::string method;
    // The path and query.
    std::string target;
    http_headers headers;
    std::string body;
    // The IP address of the caller.
    std::string callerAddress;
};

struct http_response {
    unsigned status = 0;
    http_headers headers;
    std::string body;
};

// Returns true for headers that apply to a single connection and are never forwarded.
bool isHopByHopHeader(std::string_view name);

} // namespace jackdawweir::proxy
