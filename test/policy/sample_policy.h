// A small valid policy for tests.

#pragma once

#include <string>

#include "jackdawweir/policy/model.h"

namespace jackdawweir::policy {

inline route sampleRoute(const std::string &name, const std::string &prefix)
{
    route made;
    made.name.value = name;
    made.host = "shop.example";
    made.pathPrefix = prefix;
    made.kind = document::request_kind::Idempotent;
    made.parts = {{core::service_name{"stock"}, 1}};
    made.timeout = std::chrono::milliseconds(1000);
    made.targetLatency = std::chrono::milliseconds(300);
    made.maxAttempts = 2;
    return made;
}

inline traffic_policy samplePolicy(std::uint64_t number, const std::string &original = "text")
{
    traffic_policy made;
    made.number = number;
    made.routes = {sampleRoute("lookup", "/stock/"), sampleRoute("size", "/stock/size/")};
    made.services = {service{core::service_name{"stock"}, "/health", 130}};
    made.original = original;
    return made;
}

} // namespace jackdawweir::policy
