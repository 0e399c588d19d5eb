#include "jackdawweir/forwarding/gateway_policy.h"

namespace jackdawweir::forwarding {

gateway_policy makeGatewayPolicy(const policy::policy_view &view,
                                 const core::data_centre_name &dataCentre)
{
    gateway_policy made;
    made.isEvacuated = view.evacuated.contains(dataCentre);
    const auto end = view.evacuationEnds.find(dataCentre);
    made.evacuationEnd = end == view.evacuationEnds.end() ? 0 : end->second;
    for (const policy::service &each : view.policy.services) {
        made.coldRules[each.name] = cold_rule{each.coldRequestsPerSecond, each.healthPath};
    }
    return made;
}

} // namespace jackdawweir::forwarding
