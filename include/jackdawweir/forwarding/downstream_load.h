// What the runs of one route ask of another service, as the node beside the calling server counts
// it. Answers carry it to the nodes of the callers.

#pragma once

#include <cstdint>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"

namespace jackdawweir::forwarding {

struct downstream_load {
    core::service_name service;
    // The calls that one run of the route makes to the service on average, in thousandths.
    std::uint32_t callsPerMilleRuns = 0;
    // The share of the latest calls to the service for which no server had room, in thousandths.
    std::uint32_t refusedPerMille = 0;

    friend bool operator==(const downstream_load &, const downstream_load &) = default;

    MSGPACK_DEFINE_ARRAY(service, callsPerMilleRuns, refusedPerMille)
};

} // namespace jackdawweir::forwarding
