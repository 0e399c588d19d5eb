// The parts of a simulated fleet: hosts with their state machines, links, packets and counters.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "jackdawweir/distribution/publisher.h"
#include "jackdawweir/distribution/relay.h"
#include "jackdawweir/distribution/subscriber.h"
#include "jackdawweir/membership/node_agent.h"
#include "jackdawweir/membership/relay_directory.h"
#include "jackdawweir/membership/server_directory.h"

namespace jackdawweir::bench {

using namespace std::chrono_literals;

struct fleet_settings {
    unsigned nodes = 840;
    unsigned dataCentres = 6;
    unsigned sources = 5;
    unsigned services = 97;
    std::uint64_t seed = 1;
    // No relay is started, so that the nodes connect to the sources.
    bool withoutRelays = false;
    distribution::admission_settings admission;
};

// Ethernet, IPv4 and TCP headers with timestamps, for the message and for one acknowledgement.
constexpr std::size_t overheadBytes = std::size_t{2} * 66;
constexpr std::size_t frameHeaderBytes = 5;
constexpr double linkBytesPerSecond = 12.5e6; // 100 Mbit/s

enum class role : std::uint8_t { Source, Relay, Node };

struct usage {
    std::uint64_t bytes = 0;
    std::uint64_t cpuNanoseconds = 0;
};

struct process_record {
    process_record(const distribution::distribution_settings &distributed,
                   const membership::membership_settings &member,
                   bool isRelay,
                   core::random_engine &engine)
        : configSubscriber(distributed, engine)
        , nodeAgent(member)
        , serverDirectory(member)
    {
        if (isRelay) {
            ownRelay = std::make_unique<distribution::relay>(distributed, engine);
            relayDirectory = std::make_unique<membership::relay_directory>(member);
        }
    }

    distribution::subscriber configSubscriber;
    membership::node_agent nodeAgent;
    membership::server_directory serverDirectory;
    std::unique_ptr<distribution::relay> ownRelay;
    std::unique_ptr<membership::relay_directory> relayDirectory;
    std::uint64_t incarnation = 0;
};

struct host_record {
    core::endpoint address;
    unsigned dataCentre = 0;
    bool isSource = false;
    std::unique_ptr<distribution::publisher> source;
    std::unique_ptr<process_record> process;
    core::config_version held;
    core::config_version active;
    std::chrono::nanoseconds linkFreeAt{0};
};

struct packet {
    std::chrono::nanoseconds at{0};
    std::uint64_t order = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    bool isMembership = false;
    std::string bytes;

    friend bool operator>(const packet &left, const packet &right)
    {
        return std::pair(left.at, left.order) > std::pair(right.at, right.order);
    }
};

// Returns the one-way delay. Each region consists of two data centres.
inline std::chrono::nanoseconds delayBetween(const host_record &from, const host_record &to)
{
    if (from.dataCentre == to.dataCentre) {
        return 500us;
    }
    return from.dataCentre / 2 == to.dataCentre / 2 ? 1500us : 30'000us;
}

} // namespace jackdawweir::bench
