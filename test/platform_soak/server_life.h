// The lives of one backend server: it starts, announces itself, leaves in one of the ways that
// servers have, serves on for a while and ends; then another start takes its address.
//
//     server_life life(fleet, node, "stock", server, link, seed);
//     life.play(isDone);

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>

#include "platform_process/mesh_fleet.h"
#include "platform_soak/backend.h"
#include "platform_soak/fault_proxy.h"

namespace jackdawweir::platform_soak {

// Where a server is reached and announces itself.
struct server_place {
    int node = 0;
    std::string service;
    // The address of the proxy before it.
    std::string address;
};

class server_life
{
public:
    server_life(const platform_process_test::mesh_fleet &fleet,
                server_place place,
                backend &server,
                const fault_proxy &link,
                unsigned seed);

    // Lives one life after the other until told otherwise.
    void play(const std::atomic<bool> &isDone);

private:
    using life_clock = std::chrono::steady_clock;

    void begin();
    void announceUntil(life_clock::time_point until, const std::atomic<bool> &isDone);
    // Returns true where the node acknowledged the leave.
    bool leave(const std::atomic<bool> &isDone);
    void serveOn(const std::atomic<bool> &isDone);
    bool announce(std::uint64_t sequence, const char *phase) const;
    std::chrono::milliseconds draw(unsigned least, unsigned most);

    const platform_process_test::mesh_fleet &m_fleet;
    server_place m_place;
    backend &m_server;
    const fault_proxy &m_link;
    std::mt19937 m_engine;
    unsigned m_number = 0;
    std::string m_instance;
    std::int64_t m_startedAtMillis = 0;
    std::uint64_t m_sequence = 0;
    bool m_saysDraining = false;
};

} // namespace jackdawweir::platform_soak
