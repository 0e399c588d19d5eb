// HTTP requests and responses of the console, independent of the HTTP library.

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
constexpr unsigned statusUnprocessable = 422;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;

constexpr const char *jsonType = "application/json";
constexpr const char *htmlType = "text/html; charset=utf-8";
constexpr const char *textType = "text/plain; charset=utf-8";
constexpr const char *yamlType = "application/yaml";

// The largest request body. It fits a document of the maximum size that form encoding expands to
// three times its size.
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
    // The value of the header Jackdawweir-Version; if empty, the header is not sent.
    std::string version;
};

} // namespace jackdawweir::console::internal
