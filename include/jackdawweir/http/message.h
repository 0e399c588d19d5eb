// HTTP/1.1 messages, with the whole body in memory.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace jackdawweir::http {

struct header {
    std::string name;
    std::string value;

    friend bool operator==(const header &, const header &) = default;

    MSGPACK_DEFINE_ARRAY(name, value)
};

using header_list = std::vector<header>;

// Returns the value of the first header of this name, or nullptr. Names are case-insensitive.
const std::string *findHeader(const header_list &headers, std::string_view name);

void removeHeader(header_list &headers, std::string_view name);
void setHeader(header_list &headers, std::string_view name, std::string value);

// Removes the hop-by-hop headers, including those that Connection lists, and Content-Length, which
// is derived from the body.
void removeConnectionHeaders(header_list &headers);

struct request {
    std::string method;
    // Path and query, unchanged from the caller's request.
    std::string target;
    header_list headers;
    std::string body;
};

struct response {
    unsigned status = 200;
    header_list headers;
    std::string body;
    // Whether the connection is closed after this response.
    bool closesConnection = false;
};

// Returns the bytes of a message, with Content-Length. The response to a HEAD request has no body.
std::string serialize(const request &sent);
std::string serialize(const response &sent, bool isHead);

// Appends the bytes of a response to others.
void appendResponse(std::string &bytes, const response &sent, bool isHead);

} // namespace jackdawweir::http
