// The record that a backend server announces about itself. Nodes select request targets from these
// records.

#pragma once

#include <cstdint>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"

namespace jackdawweir::membership {

enum class server_state : std::uint8_t {
    Starting, // Accepts no requests yet.
    Ready,
    Draining, // Completes in-flight requests and accepts no new ones.
};

} // namespace jackdawweir::membership

MSGPACK_ADD_ENUM(jackdawweir::membership::server_state)

namespace jackdawweir::membership {

struct backend_server {
    // The address that callers' requests are sent to. It identifies the server.
    core::endpoint address;
    core::service_name service;
    core::version_name version;
    core::data_centre_name dataCentre;
    core::host_name host;
    // Increases with each start of the server at this address; messages of an older incarnation are
    // ignored.
    std::uint64_t incarnation = 0;
    // The number of requests it runs concurrently, and the number of connections it accepts.
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
