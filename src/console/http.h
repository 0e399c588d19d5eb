// HTTP requests and responses as the console handles them, apart from the library that carries
// them.

#pragma once

#include <map>
#include <string>

namespace jackdawweir::console::internal {

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusRefused = 422;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusUnknown = 504;

constexpr const char *jsonType = "application/json";
constexpr const char *htmlType = "text/html; charset=utf-8";
constexpr const char *textType = "text/plain; charset=utf-8";
constexpr const char *yamlType = "application/yaml";

// The largest request body: a document of the largest size, form-encoded at three bytes for one.
constexpr std::size_t maxBodyBytes = 4U << 20U;

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string authorization;
    std::string submission;
    std::string expect;
    std::string body;
};

struct http_response {
    unsigned status = statusOk;
    const char *contentType = textType;
    std::string body;
    // The value of the header Jackdawweir-Version; empty for none.
    std::string version;
};

} // namespace jackdawweir::console::internal
