#include "platform_soak/link_faults.h"

#include <algorithm>
#include <array>
#include <functional>
#include <thread>

namespace jackdawweir::platform_soak {

namespace {

using platform_process_test::link_selector;
using platform_process_test::lost_packets;
using platform_process_test::mesh_fleet;
using platform_process_test::silence_kind;
using std::chrono::milliseconds;

} // namespace

link_faults::link_faults(mesh_fleet &fleet,
                         process_control &control,
                         disruption_log &disruptions,
                         soak_journal &journal,
                         unsigned seed)
    : m_fleet(fleet)
    , m_control(control)
    , m_disruptions(disruptions)
    , m_journal(journal)
    , m_engine(seed)
    , m_overlapEngine(seed + 1)
{
}

milliseconds link_faults::between(unsigned least, unsigned most)
{
    return milliseconds(least + m_engine() % (most - least));
}

void link_faults::wait(unsigned least, unsigned most)
{
    std::this_thread::sleep_for(between(least, most));
}

void link_faults::record(const std::string &what, const link_end &end)
{
    m_journal.write("event=fault kind=" + what + " end=" + end.name);
}

std::vector<std::string> link_faults::allProcesses() const
{
    std::vector<std::string> all = sourcesOf(m_fleet);
    for (int node = 1; node <= nodeCount; ++node) {
        all.push_back(m_fleet.nodeIp(node));
    }
    return all;
}

link_faults::link_end link_faults::drawEnd()
{
    const std::vector<std::string> all = allProcesses();
    switch (m_engine() % 4) {
    case 0: {
        const std::string &ip = all[m_engine() % all.size()];
        return {ip, {ip}};
    }
    case 1: {
        const int place = 1 + static_cast<int>(m_engine() % mesh_fleet::sourceCount);
        return {"data-centre-" + std::to_string(place), dataCentreOf(m_fleet, place)};
    }
    case 2:
        return {"sources", sourcesOf(m_fleet)};
    default:
        return {"all", all};
    }
}

// A silenced link counts as a reset of the connections of all hosts.
void link_faults::silence(const link_end &end)
{
    const bool isAcknowledged = m_engine() % 4 == 0;
    record(isAcknowledged ? "silence-acknowledged" : "silence", end);
    m_fleet.proxies().silence(
        [&end](const std::string &from, const std::string &to) {
            return contains(end.ips, from) || contains(end.ips, to);
        },
        isAcknowledged ? silence_kind::Acknowledged : silence_kind::Unacknowledged);
    for (const std::string &each : allProcesses()) {
        m_disruptions.begin(each, disruption::Links);
        m_disruptions.end(each);
    }
}

void link_faults::cut(const link_end &end)
{
    constexpr std::array directions{lost_packets::Both,
                                    lost_packets::Both,
                                    lost_packets::FromOpener,
                                    lost_packets::FromAcceptor};
    const bool isWithin = end.ips.size() >= mesh_fleet::sourceCount;
    record("cut", end);
    for (const std::string &each : end.ips) {
        m_disruptions.begin(each, disruption::Links);
    }
    m_fleet.proxies().cut(
        [end, isWithin](const std::string &from, const std::string &to) {
            const bool isFrom = contains(end.ips, from);
            const bool isTo = contains(end.ips, to);
            return isWithin ? isFrom && isTo : isFrom != isTo;
        },
        directions.at(m_engine() % directions.size()));
    disturbAnyProcess();
    wait(100, 6'000);
    m_fleet.proxies().heal();
    for (const std::string &each : end.ips) {
        m_disruptions.end(each);
    }
    record("heal", end);
}

void link_faults::disturbAnyProcess()
{
    if (m_overlapEngine() % 2 == 0) {
        return;
    }
    const std::vector<std::string> all = allProcesses();
    const std::string &ip = all[m_overlapEngine() % all.size()];
    const bool isRestart = m_overlapEngine() % 2 == 0;
    const milliseconds time(10 + m_overlapEngine() % 1'500);
    if (isRestart) {
        m_control.kill(ip);
    } else {
        m_control.freeze(ip);
    }
    std::this_thread::sleep_for(time);
    if (isRestart) {
        m_control.start(ip);
    } else {
        m_control.thaw(ip);
    }
}

void link_faults::restartSource()
{
    const int source = 1 + static_cast<int>(m_engine() % mesh_fleet::sourceCount);
    m_control.kill(m_fleet.sourceIp(source));
    wait(10, 600);
    m_control.start(m_fleet.sourceIp(source));
}

void link_faults::inject(soak_time until)
{
    const std::array<std::function<void()>, 5> faults{
        [this] { silence(drawEnd()); },
        [this] { silence(drawEnd()); },
        [this] { cut(drawEnd()); },
        [this] { cut(drawEnd()); },
        [this] { restartSource(); },
    };
    constexpr unsigned faultsPerCalm = 2;
    wait(2'500, 3'500);
    while (std::chrono::steady_clock::now() < until) {
        faults.at(m_engine() % faults.size())();
        // Machines are in touch again 3 s after a disruption.
        if (m_engine() % faultsPerCalm == 0) {
            wait(5'000, 8'500);
        } else {
            wait(10, 1'500);
        }
    }
}

} // namespace jackdawweir::platform_soak
