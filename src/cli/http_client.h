// HTTP calls to the operators' port of a daemon.

#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "jackdawweir/proxy/http_message.h"

namespace jackdawweir::cli {

struct http_call {
    std::string server;
    std::string method = "GET";
    std::string path;
    proxy::http_headers headers;
    std::string body;
    std::chrono::milliseconds timeout{5000};
};

struct http_reply {
    long status = 0;
    std::string body;
    // The value of the header Jackdawweir-Version.
    std::string version;
};

struct http_failure {
    std::string message;
    // True if the request may have reached the server, so that its outcome is unknown.
    bool maybeSent = false;
};

using http_result = std::variant<http_reply, http_failure>;

http_result callHttp(const http_call &call);

} // namespace jackdawweir::cli
