// Simulates one backend server: it starts, announces itself, leaves either by a deregistration or
// by draining announcements, keeps serving for a while and stops; then another instance starts at
// its address. Its last announcements before the leave arrive late: two of them two intervals
// apart, as they were sent, and one shortly before the server stops.
//
//     server_lifecycle lifecycle(fleet, place, server, link, longestService, seed);
//     lifecycle.simulate(isDone);

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "platform_process/announcing_server.h"
#include "platform_process/mesh_fleet.h"
#include "platform_soak/backend_server.h"
#include "platform_soak/fault_proxy.h"

namespace jackdawweir::platform_soak {

// The address of a server and the node to which it announces itself.
struct server_place {
    int node = 0;
    std::string service;
    // The address of the proxy in front of the server.
    std::string address;
};

// The shortest and the usual longest time for which a server serves on after its leave was
// acknowledged.
constexpr std::chrono::milliseconds shortestService{2'500};
constexpr std::chrono::milliseconds usualLongestService{6'000};

class server_lifecycle
{
public:
    // A server serves on for at most `longestService` after its leave was acknowledged; if this is
    // longer than usual, one in three does.
    server_lifecycle(const platform_process_test::mesh_fleet &fleet,
                     server_place place,
                     backend_server &server,
                     const fault_proxy &link,
                     std::chrono::milliseconds longestService,
                     unsigned seed);

    // Runs one lifecycle after the other until `isDone` is set.
    void simulate(const std::atomic<bool> &isDone);

    // Returns true while the server runs on after its leave was acknowledged.
    bool hasLeft() const
    {
        return m_hasLeft;
    }

private:
    using lifecycle_clock = std::chrono::steady_clock;

    void startInstance();
    void announceUntil(lifecycle_clock::time_point until, const std::atomic<bool> &isDone);
    // Returns true where the node acknowledged the leave.
    bool leave(const std::atomic<bool> &isDone);
    void keepServing(const std::atomic<bool> &isDone);
    std::chrono::milliseconds drawServiceTime();
    std::chrono::milliseconds randomDuration(unsigned least, unsigned most);

    const platform_process_test::mesh_fleet &m_fleet;
    server_place m_place;
    backend_server &m_server;
    const fault_proxy &m_link;
    std::chrono::milliseconds m_longestService;
    std::mt19937 m_engine;
    std::atomic<bool> m_hasLeft{false};
    unsigned m_number = 0;
    std::string m_instance;
    platform_process_test::announcing_server m_announcer;
    // The sequence numbers of the announcements that arrive late.
    std::vector<int> m_lateSequences;
    bool m_saysDraining = false;
};

} // namespace jackdawweir::platform_soak
