// Sends a request to a backend server or a daemon with libcurl, and reports how far the transfer
// got.
//
//     upstream_client client;  // one for each thread
//     const upstream_result sent = client.send(upstream_request{...});

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "jackdawweir/core/names.h"
#include "jackdawweir/proxy/http_message.h"

namespace jackdawweir::proxy {

// How the transfer of one attempt at a backend server ended.
enum class transfer_state : std::uint8_t {
    Complete, // The complete response arrived.
    NotConnected, // No connection was made, so no byte was sent.
    TimedOut, // The timeout expired after bytes may have been sent.
    ConnectionLost, // The connection broke before a response began.
    Truncated, // The response is incomplete or malformed, or its end is unknown.
    TooLarge, // The response exceeds maxResponseHeaderBytes or the limit of its body.
};

struct upstream_request {
    core::endpoint address;
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    std::chrono::milliseconds timeout{1000};
    // A backend server accepts a connection in about 1 ms, or 30 ms between regions. A server that
    // takes longer than this timeout is down or unreachable, and the remaining time is better spent
    // on another server.
    std::chrono::milliseconds connectTimeout{250};
    // A response with a larger body fails the request.
    std::size_t maxBodyBytes = maxResponseBodyBytes;
    // Whether a kept-alive connection may be used. libcurl resends a request by itself when a
    // kept-alive connection turns out to be closed, so a request that must run at most once needs a
    // new connection.
    bool mayReuseConnection = true;
};

struct upstream_result {
    transfer_state state = transfer_state::NotConnected;
    http_response response;
    // The time from the start of the attempt to its end.
    std::chrono::nanoseconds elapsed{0};
    // The part of `elapsed` after the connection was established. New backend servers get their
    // first requests over new connections, and counting the connection setup would make every new
    // version look slow.
    std::chrono::nanoseconds responseTime{0};
};

// Keeps connections to backend servers alive for one thread. It is not thread-safe. A connection
// whose transfer did not complete is closed, so that a late response is never read as the response
// to another request.
class upstream_client
{
public:
    upstream_client();
    ~upstream_client();
    upstream_client(const upstream_client &) = delete;
    upstream_client &operator=(const upstream_client &) = delete;

    upstream_result send(const upstream_request &request);

    // Closes every kept-alive connection. Used after a response that belongs to another request.
    void closeConnections();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::proxy
