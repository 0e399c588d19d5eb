// Sends one request to one backend server over libcurl and says what is known about it.
//
//     upstream_client client;                       // one for each thread
//     const upstream_result sent = client.send(upstream_request{...});

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "jackdawweir/core/names.h"
#include "jackdawweir/proxy/http_message.h"

namespace jackdawweir::proxy {

// What is known about one attempt at a backend server.
enum class transfer_state : std::uint8_t {
    Complete, // A whole response arrived.
    NotConnected, // No connection was made, so no byte was sent.
    TimedOut, // The time ran out after bytes may have been sent.
    ConnectionLost, // The connection broke before a response began.
    Truncated, // The response broke off, or its end cannot be told.
    TooLarge, // The response exceeds maxResponseBodyBytes.
};

struct upstream_request {
    core::endpoint address;
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    std::chrono::milliseconds timeout{1000};
    // Whether a kept connection may be used. libcurl repeats a request by itself when a kept
    // connection turns out to be closed, so a request that must run at most once takes a new
    // connection.
    bool mayReuseConnection = true;
};

struct upstream_result {
    transfer_state state = transfer_state::NotConnected;
    http_response response;
    // The time from the start of the attempt to its end.
    std::chrono::nanoseconds elapsed{0};
    // The part of it after the connection stood. New backend servers get their first requests over
    // new connections, and counting their opening would make every new version look slow.
    std::chrono::nanoseconds responseTime{0};
};

// Keeps connections to backend servers for one thread; not safe to share. A connection whose
// transfer did not complete is closed, so a late response can never reach another request.
class upstream_client
{
public:
    upstream_client();
    ~upstream_client();
    upstream_client(const upstream_client &) = delete;
    upstream_client &operator=(const upstream_client &) = delete;

    upstream_result send(const upstream_request &request);

    // Closes every kept connection, after a response that belonged to another request.
    void closeConnections();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::proxy
