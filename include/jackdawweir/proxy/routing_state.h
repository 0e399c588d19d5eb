// The state that request threads use for routing. It is immutable; the control thread replaces it
// as a whole.

#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "jackdawweir/core/config_version.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/request/admission.h"
#include "jackdawweir/request/retry_policy.h"
#include "jackdawweir/request/route_table.h"
#include "jackdawweir/request/server_selector.h"

namespace jackdawweir::proxy {

// Admission control and retry budget of one service. They outlive the routing states that refer to
// them.
struct service_counters {
    request::admission admissionControl{request::admission_settings{}};
    request::retry_budget retries;
};

using service_counters_map
    = std::unordered_map<core::service_name, std::shared_ptr<service_counters>>;

struct routing_state {
    core::config_version version;
    // Never null while the node serves requests.
    std::shared_ptr<const request::route_table> routes;
    std::shared_ptr<const request::server_selector> selector;
    service_counters_map services;
    // Why the node refuses all requests; empty while it serves them.
    std::string refusal;
};

} // namespace jackdawweir::proxy
