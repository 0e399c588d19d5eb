// The traffic policy of a mesh: routes by host and path, the services that receive their requests,
// the workspaces whose callers may send them, and the limits for callers. Operators replace it as a
// whole.
//
//     const std::vector<std::string> violations = findViolations(policy);
//     if (!violations.empty()) { /* refuse the policy */ }

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::policy {

using workspace_name = core::tagged_name<struct workspace_tag>;

// The service that receives a part of a route's requests, with its weight.
struct traffic_part {
    core::service_name service;
    double weight = 1;

    friend bool operator==(const traffic_part &, const traffic_part &) = default;

    MSGPACK_DEFINE_ARRAY(service, weight)
};

struct route {
    core::route_name name;
    // The value of the Host header.
    std::string host;
    std::string pathPrefix;
    document::request_kind kind = document::request_kind::NonIdempotent;
    std::vector<traffic_part> parts;
    // The time within which a caller gets a final response.
    std::chrono::milliseconds timeout{0};
    // A response within this time counts as fast enough; a faster one has no benefit.
    std::chrono::milliseconds targetLatency{0};
    // The maximum number of backend servers that may run one request.
    std::uint32_t maxAttempts = 1;
    // 0 is the most urgent.
    std::uint32_t rank = 0;
    // Callers need no API key.
    bool isPublic = false;

    friend bool operator==(const route &, const route &) = default;

    MSGPACK_DEFINE_ARRAY(name,
                         host,
                         pathPrefix,
                         kind,
                         parts,
                         timeout,
                         targetLatency,
                         maxAttempts,
                         rank,
                         isPublic)
};

struct service {
    core::service_name name;
    std::string healthPath;
    // Connections that each backend server accepts from all callers together.
    std::uint32_t maxConnections = 0;
    // The requests per second that a cold backend server takes from all hosts together; zero for no
    // limit.
    double coldRequestsPerSecond = 0;
    // The time for which a backend server is cold after its start.
    std::chrono::milliseconds coldTime{0};

    friend bool operator==(const service &, const service &) = default;

    MSGPACK_DEFINE_ARRAY(name, healthPath, maxConnections, coldRequestsPerSecond, coldTime)
};

// A customer whose callers identify themselves with one of its API keys.
struct workspace {
    workspace_name name;
    std::vector<std::string> apiKeys;
    // Compared before the rank of the route; 0 is the most urgent.
    std::uint32_t rank = 0;
    // The quota of the workspace on all hosts together: this many requests per second, and a burst
    // of this many more. A rate of zero means no quota.
    double requestsPerSecond = 0;
    double burst = 0;

    friend bool operator==(const workspace &, const workspace &) = default;

    MSGPACK_DEFINE_ARRAY(name, apiKeys, rank, requestsPerSecond, burst)
};

// Limits on the size of a caller's request and on the time that it may take to send it.
struct caller_limits {
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 8U << 20U;
    std::chrono::milliseconds headerTimeout{5000};
    std::chrono::milliseconds idleTimeout{15000};

    friend bool operator==(const caller_limits &, const caller_limits &) = default;

    MSGPACK_DEFINE_ARRAY(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout)
};

struct traffic_policy {
    // Chosen by the operator; greater than the number of the previous policy.
    std::uint64_t number = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    // The text of the policy as the operator sent it; a read returns it.
    std::string original;
    // If there are any, only callers with one of their API keys may use a route that is not public.
    std::vector<workspace> workspaces;

    friend bool operator==(const traffic_policy &, const traffic_policy &) = default;

    MSGPACK_DEFINE_ARRAY(number, routes, services, limits, original, workspaces)
};

// Returns one line for each rule that the policy violates, and none for a valid policy.
std::vector<std::string> findViolations(const traffic_policy &policy);

} // namespace jackdawweir::policy
