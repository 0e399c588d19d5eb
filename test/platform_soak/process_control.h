// Starts, pauses and ends the mesh processes of a soak, and records each disruption.
//
//     process_control control(fleet, disruptions, journal);
//     control.freeze(fleet.sourceIp(1));
//     control.thaw(fleet.sourceIp(1));

#pragma once

#include <string>
#include <vector>

#include "platform_process/mesh_fleet.h"
#include "platform_soak/disruption_log.h"
#include "platform_soak/soak_journal.h"

namespace jackdawweir::platform_soak {

constexpr int nodeCount = 4;

// Returns the service of the server beside a node.
const char *serviceOfNode(int node);

// Returns the addresses of all sources.
std::vector<std::string> sourcesOf(const platform_process_test::mesh_fleet &fleet);

// Returns the nodes in the data centre of the source at this place.
std::vector<int> nodesOfDataCentre(int place);

// Returns the addresses of the source at this place and of the nodes in its data centre.
std::vector<std::string> dataCentreOf(const platform_process_test::mesh_fleet &fleet, int place);

bool contains(const std::vector<std::string> &ips, const std::string &ip);

class process_control
{
public:
    process_control(platform_process_test::mesh_fleet &fleet,
                    disruption_log &disruptions,
                    soak_journal &journal);

    void freeze(const std::string &ip);
    void thaw(const std::string &ip);
    void kill(const std::string &ip);
    // Sends SIGTERM.
    void stop(const std::string &ip);
    // Starts a process that was killed or has stopped.
    void start(const std::string &ip);
    void startWithoutDisk(int source);

private:
    void record(const std::string &ip, const char *what);

    platform_process_test::mesh_fleet &m_fleet;
    disruption_log &m_disruptions;
    soak_journal &m_journal;
};

} // namespace jackdawweir::platform_soak
