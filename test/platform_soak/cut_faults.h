// Short cuts and lost data centres. Nodes are cut off with refused connections for less than the
// time after which the sources remove them, once or in series, two at a time at most. Data centres
// are cut off while a server there leaves, lose all their processes and the disk of their source,
// and come back.
//
//     cut_faults faults(fleet, control, disruptions, journal, hasLeft, seed);
//     faults.inject(until);

#pragma once

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "platform_process/mesh_fleet.h"
#include "platform_soak/disruption_log.h"
#include "platform_soak/process_control.h"
#include "platform_soak/soak_journal.h"

namespace jackdawweir::platform_soak {

// Returns true while the server beside the node runs on after its leave was acknowledged.
using leave_predicate = std::function<bool(int node)>;

class cut_faults
{
public:
    cut_faults(platform_process_test::mesh_fleet &fleet,
               process_control &control,
               disruption_log &disruptions,
               soak_journal &journal,
               leave_predicate hasLeft,
               unsigned seed);

    void inject(soak_time until);

private:
    void refuseNodes();
    void refuse(const std::vector<int> &nodes);
    void loseDataCentre();
    // Waits until a server beside one of the nodes has left, for a limited time.
    void awaitLeave(const std::vector<int> &nodes) const;
    void record(const std::string &what, const std::string &end);
    void wait(unsigned leastMillis, unsigned mostMillis);

    platform_process_test::mesh_fleet &m_fleet;
    process_control &m_control;
    disruption_log &m_disruptions;
    soak_journal &m_journal;
    leave_predicate m_hasLeft;
    std::mt19937 m_engine;
};

} // namespace jackdawweir::platform_soak
