// What a backend server announces of itself. Nodes choose among these records.

#pragma once

#include <cstdint>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"

namespace jackdawweir::membership {

enum class server_state : std::uint8_t {
    Starting, // Takes no work yet.
    Ready,
    Draining, // Finishes its work and takes no new.
};

} // namespace jackdawweir::membership

MSGPACK_ADD_ENUM(jackdawweir::membership::server_state)

namespace jackdawweir::membership {

struct backend_server {
    // The address callers' requests are sent to; it identifies the server.
    core::endpoint address;
    core::service_name service;
    core::version_name version;
    core::data_centre_name dataCentre;
    core::host_name host;
    // Greater for each start of the server at this address; messages of an older start are ignored.
    std::uint64_t incarnation = 0;
    // Requests it runs at the same time, and connections it accepts.
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    server_state state = server_state::Starting;

    friend bool operator==(const backend_server &, const backend_server &) = default;

    MSGPACK_DEFINE_ARRAY(address,
                         service,
                         version,
                         dataCentre,
                         host,
                         incarnation,
                         slots,
                         connections,
                         state)
};

} // namespace jackdawweir::membership
