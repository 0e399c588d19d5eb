// Hosts of a mesh and the backend servers beside their nodes, as nodes and sources tell each other.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::fleet {

// Tells one backend server from all others, also from earlier ones at its address.
using instance_name = core::tagged_name<struct instance_tag>;

struct server_record {
    instance_name instance;
    // Only processes on the server's host reach it here.
    core::endpoint address;
    core::service_name service;
    core::version_name version;
    // Requests it runs at the same time.
    std::uint32_t slots = 1;
    // It takes no new requests.
    bool isDraining = false;
    // How much longer it is slow after its start.
    std::chrono::milliseconds coldFor{0};
    // The wall time of its start; zero where it does not say.
    std::chrono::milliseconds startedAt{0};

    friend bool operator==(const server_record &, const server_record &) = default;

    MSGPACK_DEFINE_ARRAY(instance, address, service, version, slots, isDraining, coldFor, startedAt)
};

// A backend server that takes no new requests, whatever it announces later.
struct departure {
    instance_name instance;
    // The server's starts up to this wall time have left; a later one under its name has not.
    std::chrono::milliseconds startedUpTo{0};
    // The time since its node acknowledged the leave.
    std::chrono::milliseconds age{0};

    friend bool operator==(const departure &, const departure &) = default;

    MSGPACK_DEFINE_ARRAY(instance, startedUpTo, age)
};

using departed_servers = std::map<core::host_name, std::vector<departure>>;

// What the node of a host says of itself. A greater (incarnation, sequence) is newer.
struct host_record {
    core::host_name host;
    core::data_centre_name dataCentre;
    // The mesh address of the node.
    core::endpoint endpoint;
    // The wall time of the node's start in microseconds.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // The node stops and takes no requests for its servers.
    bool isLeaving = false;
    std::vector<server_record> servers;

    friend bool operator==(const host_record &, const host_record &) = default;

    MSGPACK_DEFINE_ARRAY(host, dataCentre, endpoint, incarnation, sequence, isLeaving, servers)
};

// Returns true where `left` was said after `right`.
inline bool isNewer(const host_record &left, const host_record &right)
{
    return left.incarnation != right.incarnation ? left.incarnation > right.incarnation
                                                 : left.sequence > right.sequence;
}

} // namespace jackdawweir::fleet
