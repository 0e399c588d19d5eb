#include "platform_soak/cut_faults.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace jackdawweir::platform_soak {

namespace {

using platform_process_test::mesh_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A source whose disk was lost needs this long to catch up; only one disk is lost at a time.
constexpr unsigned catchUpMillis = 8'000;

// The longest time for which a cut-off data centre waits for a leave.
constexpr seconds longestWaitForLeave{3};

} // namespace

cut_faults::cut_faults(mesh_fleet &fleet,
                       process_control &control,
                       disruption_log &disruptions,
                       soak_journal &journal,
                       leave_predicate hasLeft,
                       unsigned seed)
    : m_fleet(fleet)
    , m_control(control)
    , m_disruptions(disruptions)
    , m_journal(journal)
    , m_hasLeft(std::move(hasLeft))
    , m_engine(seed)
{
}

void cut_faults::wait(unsigned leastMillis, unsigned mostMillis)
{
    std::this_thread::sleep_for(
        milliseconds(leastMillis + m_engine() % (mostMillis - leastMillis)));
}

void cut_faults::record(const std::string &what, const std::string &end)
{
    m_journal.write("event=fault kind=" + what + " end=" + end);
}

void cut_faults::refuse(const std::vector<int> &nodes)
{
    // Shorter than the time after which the sources remove a host without reports.
    constexpr unsigned longestCutMillis = 2'300;
    for (const int node : nodes) {
        const std::string ip = m_fleet.nodeIp(node);
        record("refuse", ip);
        m_disruptions.begin(ip, disruption::Links);
        m_fleet.proxies().refuse(ip);
        wait(0, 600);
    }
    wait(200, longestCutMillis);
    for (const int node : nodes) {
        const std::string ip = m_fleet.nodeIp(node);
        m_fleet.proxies().accept(ip);
        m_disruptions.end(ip);
        record("accept", ip);
    }
}

void cut_faults::refuseNodes()
{
    constexpr unsigned longestSeries = 4;
    const int first = 1 + static_cast<int>(m_engine() % nodeCount);
    const int second = 1 + first % nodeCount;
    const bool isPair = m_engine() % 2 == 0;
    const std::vector<int> nodes = isPair ? std::vector{first, second} : std::vector{first};
    for (unsigned left = 1 + m_engine() % longestSeries; left > 0; --left) {
        refuse(nodes);
        wait(50, 1'500);
    }
}

void cut_faults::awaitLeave(const std::vector<int> &nodes) const
{
    const soak_time until = std::chrono::steady_clock::now() + longestWaitForLeave;
    while (std::chrono::steady_clock::now() < until
           && std::none_of(nodes.begin(), nodes.end(), m_hasLeft)) {
        std::this_thread::sleep_for(milliseconds(5));
    }
}

void cut_faults::loseDataCentre()
{
    const int place = 1 + static_cast<int>(m_engine() % mesh_fleet::sourceCount);
    const std::vector<int> nodes = nodesOfDataCentre(place);
    const std::vector<std::string> ips = dataCentreOf(m_fleet, place);
    record("cut-data-centre", std::to_string(place));
    for (const std::string &each : ips) {
        m_disruptions.begin(each, disruption::Links);
    }
    m_fleet.proxies().cut([ips](const std::string &from, const std::string &to) {
        return contains(ips, from) != contains(ips, to);
    });
    awaitLeave(nodes);
    wait(10, 300);
    for (const std::string &each : ips) {
        m_control.kill(each);
    }
    wait(100, 1'000);
    m_control.startWithoutDisk(place);
    for (const int node : nodes) {
        m_control.start(m_fleet.nodeIp(node));
    }
    wait(10, 2'000);
    m_fleet.proxies().heal();
    for (const std::string &each : ips) {
        m_disruptions.end(each);
    }
    record("heal", std::to_string(place));
    wait(catchUpMillis, catchUpMillis + 1'000);
}

void cut_faults::inject(soak_time until)
{
    wait(2'500, 3'500);
    while (std::chrono::steady_clock::now() < until) {
        if (m_engine() % 2 == 0) {
            refuseNodes();
        } else {
            loseDataCentre();
        }
        wait(10, 3'500);
    }
}

} // namespace jackdawweir::platform_soak
