#include "cli/http_client.h"

#include <utility>

#include <absl/strings/str_cat.h>

#include "jackdawweir/proxy/upstream_client.h"

namespace jackdawweir::cli {

namespace {

using proxy::transfer_state;

// All responses of the console are smaller than this; a larger response is a server error.
constexpr std::size_t maxReplyBytes = 64U << 20U;

const char *messageFor(transfer_state state)
{
    switch (state) {
    case transfer_state::Complete:
        return "complete";
    case transfer_state::NotConnected:
        return "could not connect";
    case transfer_state::TimedOut:
        return "no complete response in time";
    case transfer_state::ConnectionLost:
        return "the connection ended without a response";
    case transfer_state::Truncated:
        return "the response is incomplete or malformed";
    case transfer_state::TooLarge:
        return "the response is too large";
    }
    return "unknown";
}

proxy::upstream_request requestFor(const http_call &call)
{
    proxy::upstream_request request;
    request.address = core::endpoint{call.server};
    request.method = call.method;
    request.target = call.path;
    request.headers = call.headers;
    request.body = call.body;
    request.timeout = call.timeout;
    request.connectTimeout = call.timeout;
    request.maxBodyBytes = maxReplyBytes;
    return request;
}

} // namespace

http_result callHttp(const http_call &call)
{
    proxy::upstream_result sent = proxy::upstream_client().send(requestFor(call));
    if (sent.state != transfer_state::Complete) {
        return http_failure{absl::StrCat(call.server, ": ", messageFor(sent.state)),
                            sent.state != transfer_state::NotConnected};
    }
    return http_reply{static_cast<long>(sent.response.status),
                      std::move(sent.response.body),
                      proxy::findHeader(sent.response.headers, "Jackdawweir-Version").value_or("")};
}

} // namespace jackdawweir::cli
