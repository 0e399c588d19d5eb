#include "platform_soak/process_control.h"

#include <algorithm>

#include <csignal>

namespace jackdawweir::platform_soak {

using platform_process_test::mesh_fleet;

const char *serviceOfNode(int node)
{
    return node % 2 == 0 ? "stock" : "desk";
}

std::vector<std::string> sourcesOf(const mesh_fleet &fleet)
{
    std::vector<std::string> sources;
    for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
        sources.push_back(fleet.sourceIp(index));
    }
    return sources;
}

std::vector<int> nodesOfDataCentre(int place)
{
    std::vector<int> nodes;
    for (int node = place; node <= nodeCount; node += mesh_fleet::sourceCount) {
        nodes.push_back(node);
    }
    return nodes;
}

std::vector<std::string> dataCentreOf(const mesh_fleet &fleet, int place)
{
    std::vector<std::string> ips{fleet.sourceIp(place)};
    for (const int node : nodesOfDataCentre(place)) {
        ips.push_back(fleet.nodeIp(node));
    }
    return ips;
}

bool contains(const std::vector<std::string> &ips, const std::string &ip)
{
    return std::find(ips.begin(), ips.end(), ip) != ips.end();
}

process_control::process_control(mesh_fleet &fleet,
                                 disruption_log &disruptions,
                                 soak_journal &journal)
    : m_fleet(fleet)
    , m_disruptions(disruptions)
    , m_journal(journal)
{
}

void process_control::record(const std::string &ip, const char *what)
{
    m_journal.write("event=fault ip=" + ip + " kind=" + what);
}

void process_control::freeze(const std::string &ip)
{
    record(ip, "freeze");
    m_disruptions.begin(ip, disruption::Frozen);
    m_fleet.processAt(ip).kill(SIGSTOP);
}

void process_control::thaw(const std::string &ip)
{
    m_fleet.processAt(ip).kill(SIGCONT);
    m_disruptions.end(ip);
    record(ip, "thaw");
}

void process_control::kill(const std::string &ip)
{
    record(ip, "kill");
    m_disruptions.begin(ip, disruption::Down);
    m_fleet.kill(ip);
}

void process_control::stop(const std::string &ip)
{
    record(ip, "stop");
    m_disruptions.begin(ip, disruption::Down);
    m_fleet.processAt(ip).kill(SIGTERM);
}

void process_control::start(const std::string &ip)
{
    for (int index = 1; index <= mesh_fleet::sourceCount; ++index) {
        if (m_fleet.sourceIp(index) == ip) {
            m_fleet.startSource(index, false);
        }
    }
    constexpr int maxNode = 9;
    for (int node = 1; node <= maxNode; ++node) {
        if (m_fleet.nodeIp(node) == ip) {
            m_fleet.startNode(node, serviceOfNode(node));
        }
    }
    m_disruptions.end(ip);
    record(ip, "start");
}

void process_control::startWithoutDisk(int source)
{
    m_fleet.eraseDisk(source);
    record(m_fleet.sourceIp(source), "erase-disk");
    start(m_fleet.sourceIp(source));
}

} // namespace jackdawweir::platform_soak
