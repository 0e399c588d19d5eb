#include "platform_soak/core_faults.h"

#include <array>
#include <fstream>
#include <thread>

namespace jackdawweir::platform_soak {

namespace {

using platform_process_test::mesh_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A lost disk counts as lost for catchUpS after the machine is back; one at a time may be lost.
constexpr seconds catchUpTime{4};

// Returns the time of the last line that shows a source in the leader's role; empty where none
// does.
std::string leadingSince(const std::filesystem::path &log)
{
    std::ifstream file(log);
    std::string line;
    std::string last;
    while (std::getline(file, line)) {
        if (line.find("role=leader") != std::string::npos) {
            last = line.substr(0, line.find(' '));
        }
    }
    return last;
}

} // namespace

core_faults::core_faults(mesh_fleet &fleet,
                         process_control &control,
                         configuration_operator &sender,
                         const configuration_history &history,
                         unsigned seed)
    : m_fleet(fleet)
    , m_control(control)
    , m_sender(sender)
    , m_history(history)
    , m_engine(seed)
{
}

milliseconds core_faults::between(unsigned least, unsigned most)
{
    return milliseconds(least + m_engine() % (most - least));
}

void core_faults::wait(unsigned least, unsigned most)
{
    std::this_thread::sleep_for(between(least, most));
}

int core_faults::leader() const
{
    int found = 1;
    std::string latest;
    for (int source = 1; source <= mesh_fleet::sourceCount; ++source) {
        const std::string since
            = leadingSince(m_fleet.folder() / (m_fleet.sourceIp(source) + ".log"));
        if (since > latest) {
            latest = since;
            found = source;
        }
    }
    return found;
}

int core_faults::otherThan(int source)
{
    return 1 + (source + static_cast<int>(m_engine() % 2)) % mesh_fleet::sourceCount;
}

void core_faults::restartWhileAnotherIsFrozen()
{
    const int frozen = 1 + static_cast<int>(m_engine() % mesh_fleet::sourceCount);
    const std::string restarted = m_fleet.sourceIp(otherThan(frozen));
    m_control.freeze(m_fleet.sourceIp(frozen));
    wait(1, 400);
    m_control.kill(restarted);
    m_control.start(restarted);
    wait(50, 1'200);
    m_control.thaw(m_fleet.sourceIp(frozen));
}

void core_faults::restartUnderOpenCalls()
{
    constexpr int allNumbers = 6;
    const int leading = leader();
    const int restarted = otherThan(leading);
    // Either the leader is silent, or the only other source that its majority could use.
    const int frozen = m_engine() % 2 == 0 ? leading : allNumbers - leading - restarted;
    m_sender.setOnlySource(restarted);
    // A process that has just started has forwarded few calls.
    if (m_engine() % 2 == 0) {
        m_control.kill(m_fleet.sourceIp(restarted));
        m_control.start(m_fleet.sourceIp(restarted));
        wait(5, 200);
    }
    m_control.freeze(m_fleet.sourceIp(frozen));
    wait(2, 150);
    m_control.kill(m_fleet.sourceIp(restarted));
    m_control.start(m_fleet.sourceIp(restarted));
    // A leader that is silent for longer than 450 ms no longer decides what it was sent before.
    wait(20, 400);
    m_control.thaw(m_fleet.sourceIp(frozen));
    wait(100, 600);
    m_sender.setOnlySource(0);
}

void core_faults::killAllAfterAnAcknowledgement()
{
    const std::size_t count = m_history.acknowledgedCount();
    const soak_time until = std::chrono::steady_clock::now() + seconds(3);
    while (m_history.acknowledgedCount() == count && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    wait(0, 900);
    for (const std::string &each : sourcesOf(m_fleet)) {
        wait(0, 30);
        m_control.kill(each);
    }
    wait(20, 800);
    for (const std::string &each : sourcesOf(m_fleet)) {
        wait(0, 60);
        m_control.start(each);
    }
}

void core_faults::restartNode()
{
    constexpr unsigned nodes = 4;
    const std::string restarted = m_fleet.nodeIp(1 + static_cast<int>(m_engine() % nodes));
    m_control.kill(restarted);
    wait(1, 500);
    m_control.start(restarted);
}

void core_faults::restartWhileAnotherIsDown()
{
    const int down = 1 + static_cast<int>(m_engine() % mesh_fleet::sourceCount);
    const std::string restarted = m_fleet.sourceIp(otherThan(down));
    m_control.kill(m_fleet.sourceIp(down));
    wait(50, 800);
    m_control.kill(restarted);
    m_control.start(restarted);
    // The core is stable after 3 s, and a change is due 4 s after it was sent.
    wait(7'500, 9'000);
    m_control.start(m_fleet.sourceIp(down));
}

void core_faults::freezeNode()
{
    constexpr unsigned nodes = 4;
    const std::string frozen = m_fleet.nodeIp(1 + static_cast<int>(m_engine() % nodes));
    m_control.freeze(frozen);
    wait(100, 2'500);
    m_control.thaw(frozen);
}

void core_faults::freezeMajority()
{
    const int first = 1 + static_cast<int>(m_engine() % mesh_fleet::sourceCount);
    const int second = otherThan(first);
    m_control.freeze(m_fleet.sourceIp(first));
    wait(1, 300);
    m_control.freeze(m_fleet.sourceIp(second));
    wait(100, 1'500);
    m_control.thaw(m_fleet.sourceIp(first));
    wait(1, 300);
    m_control.thaw(m_fleet.sourceIp(second));
}

void core_faults::loseDisk()
{
    if (std::chrono::steady_clock::now() < m_nextDiskLoss) {
        return;
    }
    const int source = 1 + static_cast<int>(m_engine() % mesh_fleet::sourceCount);
    m_control.kill(m_fleet.sourceIp(source));
    wait(50, 1'500);
    m_control.startWithoutDisk(source);
    m_nextDiskLoss = std::chrono::steady_clock::now() + catchUpTime;
}

void core_faults::inject(soak_time until)
{
    const std::array<std::function<void()>, 8> faults{
        [this] { restartWhileAnotherIsFrozen(); },
        [this] { restartUnderOpenCalls(); },
        [this] { killAllAfterAnAcknowledgement(); },
        [this] { restartNode(); },
        [this] { freezeNode(); },
        [this] { freezeMajority(); },
        [this] { loseDisk(); },
        [this] { restartWhileAnotherIsDown(); },
    };
    constexpr unsigned faultsPerCalm = 2;
    wait(1'500, 2'500);
    while (std::chrono::steady_clock::now() < until) {
        faults.at(m_engine() % faults.size())();
        // Machines are in touch again 3 s after a disruption.
        if (m_engine() % faultsPerCalm == 0) {
            wait(4'000, 7'500);
        } else {
            wait(10, 900);
        }
    }
}

} // namespace jackdawweir::platform_soak
