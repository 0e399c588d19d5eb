// Injects faults into the links between mesh processes, some of them while processes restart, with
// calm times between them in which the bounds of the rules hold.
//
//     link_faults faults(fleet, control, disruptions, journal, seed);
//     faults.inject(until);

#pragma once

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "platform_process/mesh_fleet.h"
#include "platform_soak/disruption_log.h"
#include "platform_soak/process_control.h"
#include "platform_soak/soak_journal.h"

namespace jackdawweir::platform_soak {

class link_faults
{
public:
    link_faults(platform_process_test::mesh_fleet &fleet,
                process_control &control,
                disruption_log &disruptions,
                soak_journal &journal,
                unsigned seed);

    void inject(soak_time until);

private:
    // The processes at one end of the disrupted links, and a name for the journal.
    struct link_end {
        std::string name;
        std::vector<std::string> ips;
    };

    // Draws one process, all processes of one data centre, all sources, or all processes.
    link_end drawEnd();
    std::vector<std::string> allProcesses() const;
    void silence(const link_end &end);
    // Loses packets between the processes of the end and all others, or among all of them.
    void cut(const link_end &end);
    void restartSource();
    // Restarts a process, or pauses it, in half of the calls.
    void disturbAnyProcess();
    void record(const std::string &what, const link_end &end);
    std::chrono::milliseconds between(unsigned least, unsigned most);
    void wait(unsigned least, unsigned most);

    platform_process_test::mesh_fleet &m_fleet;
    process_control &m_control;
    disruption_log &m_disruptions;
    soak_journal &m_journal;
    std::mt19937 m_engine;
    // Draws what overlaps with a fault of the links.
    std::mt19937 m_overlapEngine;
};

} // namespace jackdawweir::platform_soak
