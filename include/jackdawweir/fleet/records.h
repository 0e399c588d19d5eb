// Records of the hosts of a mesh and of their backend servers, as nodes and sources exchange them.

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

// Identifies a backend server among all others, including earlier ones at the same address.
using instance_name = core::tagged_name<struct instance_tag>;

struct server_record {
    instance_name instance;
    // Reachable only from processes on the server's host.
    core::endpoint address;
    core::service_name service;
    core::version_name version;
    // The number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    // True if the server takes no new requests.
    bool isDraining = false;
    // The remaining time for which it is slow after its start.
    std::chrono::milliseconds coldFor{0};
    // The wall time of its start; zero if the server does not report it.
    std::chrono::milliseconds startedAt{0};

    friend bool operator==(const server_record &, const server_record &) = default;

    MSGPACK_DEFINE_ARRAY(instance, address, service, version, slots, isDraining, coldFor, startedAt)
};

// Records that a backend server has departed: it takes no new requests, even if an announcement
// that arrives later contradicts this.
struct departure {
    instance_name instance;
    // Applies to processes of the server that started up to this wall time, not to one that started
    // later under the same name.
    std::chrono::milliseconds startedUpTo{0};
    // The time since its node acknowledged the departure.
    std::chrono::milliseconds age{0};

    friend bool operator==(const departure &, const departure &) = default;

    MSGPACK_DEFINE_ARRAY(instance, startedUpTo, age)
};

using departed_servers = std::map<core::host_name, std::vector<departure>>;

// The state of a host, as its node reports it. A greater (incarnation, sequence) is newer.
struct host_record {
    core::host_name host;
    core::data_centre_name dataCentre;
    // The mesh address of the node.
    core::endpoint endpoint;
    // The wall time of the node's start in microseconds.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // True if the node is stopping and takes no requests for its servers.
    bool isLeaving = false;
    std::vector<server_record> servers;

    friend bool operator==(const host_record &, const host_record &) = default;

    MSGPACK_DEFINE_ARRAY(host, dataCentre, endpoint, incarnation, sequence, isLeaving, servers)
};

// Returns true if `first` was reported after `second`.
inline bool isNewer(const host_record &first, const host_record &second)
{
    return first.incarnation != second.incarnation ? first.incarnation > second.incarnation
                                                   : first.sequence > second.sequence;
}

// Returns the newest of the records of each host, sorted by host.
std::vector<host_record> newestOfEachHost(std::vector<host_record> records);

} // namespace jackdawweir::fleet
