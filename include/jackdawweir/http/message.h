// HTTP/1.1 messages that are held in memory as a whole.

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

// Returns the value of the first header of this name, or nullptr. Names match without regard to
// case.
const std::string *findHeader(const header_list &headers, std::string_view name);

void removeHeader(header_list &headers, std::string_view name);
void setHeader(header_list &headers, std::string_view name, std::string value);

// Removes the headers that concern one connection only, those that Connection names among them, and
// Content-Length, which follows from the body.
void removeConnectionHeaders(header_list &headers);

struct request {
    std::string method;
    // Path and query as the caller sent them.
    std::string target;
    header_list headers;
    std::string body;
};

struct response {
    unsigned status = 200;
    header_list headers;
    std::string body;
    // Closes the connection after this response.
    bool closes = false;
};

// Returns the bytes of a message, with Content-Length. The response to a HEAD request is sent
// without its body.
std::string serialize(const request &sent);
std::string serialize(const response &sent, bool isHead);

} // namespace jackdawweir::http
