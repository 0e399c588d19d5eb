// Simulates one backend server: it starts, announces itself, leaves either by a deregistration or
// by draining announcements, keeps serving for a while and stops; then another instance starts at
// its address.
//
//     server_lifecycle lifecycle(fleet, place, server, link, seed);
//     lifecycle.simulate(isDone);

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>

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

class server_lifecycle
{
public:
    server_lifecycle(const platform_process_test::mesh_fleet &fleet,
                     server_place place,
                     backend_server &server,
                     const fault_proxy &link,
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
    bool announce(std::uint64_t sequence, const char *phase) const;
    std::chrono::milliseconds randomDuration(unsigned least, unsigned most);

    const platform_process_test::mesh_fleet &m_fleet;
    server_place m_place;
    backend_server &m_server;
    const fault_proxy &m_link;
    std::mt19937 m_engine;
    std::atomic<bool> m_hasLeft{false};
    unsigned m_number = 0;
    std::string m_instance;
    std::int64_t m_startedAtMillis = 0;
    std::uint64_t m_sequence = 0;
    bool m_saysDraining = false;
};

} // namespace jackdawweir::platform_soak
