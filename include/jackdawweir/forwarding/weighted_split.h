// Splits the requests of each route over its parts by weight: a smooth weighted round robin.
//
//     route_splits splits;
//     splits.retain(policy.routes);
//     const core::service_name service = splits.choosePart(route, engine);

#pragma once

#include <map>
#include <vector>

#include "jackdawweir/core/random.h"
#include "jackdawweir/policy/model.h"

namespace jackdawweir::forwarding {

class weighted_split
{
public:
    // Begins at a random position, so that the weights also hold in total when each of many nodes
    // gets only a few requests.
    weighted_split(const std::vector<policy::traffic_part> &parts, core::random_engine &engine);

    // Returns the service of the next request. A part without weight is never chosen.
    const core::service_name &next();

    const std::vector<policy::traffic_part> &parts() const
    {
        return m_parts;
    }

private:
    std::vector<policy::traffic_part> m_parts;
    std::vector<double> m_credits;
};

// The splits of the routes of a policy. A route keeps its position while its parts are the same:
// views may change more often than a node gets a request, and a part of small weight would get
// none.
class route_splits
{
public:
    // Returns the service of the route's next request.
    core::service_name choosePart(const policy::route &route, core::random_engine &engine);

    // Drops the positions of all other routes.
    void retain(const std::vector<policy::route> &routes);

private:
    std::map<core::route_name, weighted_split> m_splits;
};

} // namespace jackdawweir::forwarding
