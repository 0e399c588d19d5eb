// The document that operators change: services with the share of each backend server version,
// routes with their contracts, and moves of traffic.
//
//     const document doc = document_builder()
//                              .addService("quotes", {{"v1", 100}, {"v2", 0}})
//                              .addRoute(route_builder("quote-lookup")
//                                            .pathPrefix("/quotes/")
//                                            .service("quotes")
//                                            .kind(request_kind::Idempotent)
//                                            .build())
//                              .build();

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::document {

// Whether a request may safely be executed more than once.
enum class request_kind : std::uint8_t {
    Idempotent,
    NonIdempotent,
};

// Under overload, requests of lower urgency are shed first.
enum class request_urgency : std::uint8_t {
    Low,
    Normal,
    High,
};

} // namespace jackdawweir::document

MSGPACK_ADD_ENUM(jackdawweir::document::request_kind)
MSGPACK_ADD_ENUM(jackdawweir::document::request_urgency)

namespace jackdawweir::document {

// The share of a service's traffic that one backend server version receives, in percent.
struct version_share {
    core::version_name version;
    std::uint32_t percent = 0;

    friend bool operator==(const version_share &, const version_share &) = default;

    MSGPACK_DEFINE_ARRAY(version, percent)
};

// A service and its versions; the shares sum to 100.
struct service {
    core::service_name name;
    std::vector<version_share> versions;

    friend bool operator==(const service &, const service &) = default;

    MSGPACK_DEFINE_ARRAY(name, versions)
};

// The properties of a route's requests that its callers can rely on.
struct route_contract {
    request_kind kind = request_kind::NonIdempotent;
    request_urgency urgency = request_urgency::Normal;
    // The value of one successful response, relative to the other routes.
    std::uint32_t weight = 1;
    // The longest time that a caller waits for a response.
    std::chrono::milliseconds deadline{1000};

    friend bool operator==(const route_contract &, const route_contract &) = default;

    MSGPACK_DEFINE_ARRAY(kind, urgency, weight, deadline)
};

// Routes requests whose path starts with a prefix to a service. The longest matching prefix wins.
struct route {
    core::route_name name;
    std::string pathPrefix;
    core::service_name service;
    route_contract contract;

    friend bool operator==(const route &, const route &) = default;

    MSGPACK_DEFINE_ARRAY(name, pathPrefix, service, contract)
};

// A request to move the traffic of one version to another by a completion time.
struct move_request {
    core::service_name service;
    core::version_name from;
    core::version_name to;
    core::wall_time doneBy;

    friend bool operator==(const move_request &, const move_request &) = default;

    MSGPACK_DEFINE_ARRAY(service, from, to, doneBy)
};

struct document {
    std::vector<service> services;
    std::vector<route> routes;
    std::vector<move_request> moves;

    friend bool operator==(const document &, const document &) = default;

    MSGPACK_DEFINE_ARRAY(services, routes, moves)
};

class route_builder
{
public:
    explicit route_builder(std::string name);

    route_builder &pathPrefix(std::string prefix);
    route_builder &service(std::string name);
    route_builder &kind(request_kind kind);
    route_builder &urgency(request_urgency urgency);
    route_builder &weight(std::uint32_t weight);
    route_builder &deadline(std::chrono::milliseconds deadline);
    route build() const;

private:
    route m_route;
};

class document_builder
{
public:
    document_builder &addService(std::string name, std::vector<version_share> versions);
    document_builder &addRoute(route added);
    document_builder &
    addMove(std::string service, std::string from, std::string to, core::wall_time doneBy);
    document build() const;

private:
    document m_document;
};

const char *toString(request_kind kind);
const char *toString(request_urgency urgency);

// Returns nothing for an unknown name.
std::optional<request_kind> parseRequestKind(const std::string &name);
std::optional<request_urgency> parseRequestUrgency(const std::string &name);

} // namespace jackdawweir::document
