// What the node beside a backend server takes from the policy view.
//
//     gateway.setPolicy(makeGatewayPolicy(view, ownDataCentre), now);

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "jackdawweir/core/names.h"
#include "jackdawweir/policy/policy_state.h"

namespace jackdawweir::forwarding {

struct cold_rule {
    // The requests per second that a cold server takes; zero for no limit.
    double requestsPerSecond = 0;
    // Where a server says whether it is cold; empty for nowhere.
    std::string healthPath;
};

struct gateway_policy {
    // The data centre of the node is evacuated.
    bool isEvacuated = false;
    // The revision at which its latest evacuation ended; zero for none.
    std::uint64_t evacuationEnd = 0;
    std::map<core::service_name, cold_rule> coldRules;
};

gateway_policy makeGatewayPolicy(const policy::policy_view &view,
                                 const core::data_centre_name &dataCentre);

} // namespace jackdawweir::forwarding
