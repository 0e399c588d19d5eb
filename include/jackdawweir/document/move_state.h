// The committed state of one move, which is part of the configuration that nodes run.

#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/document/model.h"

namespace jackdawweir::document {

enum class move_phase : std::uint8_t {
    Running, // The share of the new version rises.
    Done, // All traffic goes to the new version.
    Reverted, // All traffic goes to the old version after faults of the new one.
    RevertedAfterDone, // As Reverted, but the faults showed after the move was done.
    Superseded, // A new document changed the service's versions.
};

} // namespace jackdawweir::document

MSGPACK_ADD_ENUM(jackdawweir::document::move_phase)

namespace jackdawweir::document {

// Shares of moves are counted in basis points: 10,000 are the whole traffic of the service.
constexpr std::uint32_t wholeShareBasisPoints = 10'000;

struct move_state {
    // Numbers the moves of a configuration in the order of their acceptance.
    std::uint64_t id = 0;
    move_request request;
    core::wall_time acceptedAt;
    move_phase phase = move_phase::Running;
    // The share of the new version; the old version gets the rest.
    std::uint32_t newShareBasisPoints = 0;
    // Why the move is in this phase, with the evidence, in one line for operators.
    std::string reason;

    friend bool operator==(const move_state &, const move_state &) = default;

    MSGPACK_DEFINE_ARRAY(id, request, acceptedAt, phase, newShareBasisPoints, reason)
};

// A change of one move that the source commits. It is ignored when the move is no longer in the
// phase and share it was decided for, so that a decision delayed by a change of leader does no
// harm.
struct move_decision {
    std::uint64_t moveId = 0;
    move_phase expectedPhase = move_phase::Running;
    std::uint32_t expectedShareBasisPoints = 0;
    move_phase phase = move_phase::Running;
    std::uint32_t newShareBasisPoints = 0;
    std::string reason;

    friend bool operator==(const move_decision &, const move_decision &) = default;

    MSGPACK_DEFINE_ARRAY(moveId,
                         expectedPhase,
                         expectedShareBasisPoints,
                         phase,
                         newShareBasisPoints,
                         reason)
};

const char *toString(move_phase phase);

} // namespace jackdawweir::document
