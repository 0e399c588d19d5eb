// Messages and inputs of the moves module. Messages travel on wire::channel::Moves.
//
//     const std::string payload = wire::encode(message{report});

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/config_version.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/document/move_state.h"
#include "jackdawweir/moves/evidence.h"

namespace jackdawweir::moves {

// Message: a circuit breaker of this move is open. A node sends it to its relay, and a relay to its
// nodes and to the source leader. It is resent while the breaker is open.
struct breaker_report {
    core::host_name reporter;
    core::data_centre_name dataCentre;
    std::uint64_t moveId = 0;
    core::service_name service;
    core::version_name version;
    // The evidence as one line of text for operators.
    std::string reason;

    friend bool operator==(const breaker_report &, const breaker_report &) = default;

    MSGPACK_DEFINE_ARRAY(reporter, dataCentre, moveId, service, version, reason)
};

using message = std::variant<evidence_report, evidence_ack, breaker_report>;

// Input: the states of all moves in a committed configuration. A configuration that is older than
// the last one is ignored.
struct committed_moves {
    core::config_version version;
    std::vector<document::move_state> moves;
};

// Input: the sum of the counters of one interval.
struct evidence_batch {
    std::vector<evidence_cell> cells;
};

// Input: the total number of slots that the ready servers of a version announce in all data
// centres; zero if there is no such server.
struct announced_slots {
    core::service_name service;
    core::version_name version;
    std::uint64_t slots = 0;
};

} // namespace jackdawweir::moves
