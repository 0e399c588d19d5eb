// The committed state of one move, which is part of the configuration that nodes apply.

#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/document/model.h"

namespace jackdawweir::document {

enum class move_phase : std::uint8_t {
    Running, // The share of the new version is being raised.
    Done, // All traffic goes to the new version.
    Reverted, // All traffic goes to the old version because the new one was faulty.
    RevertedAfterDone, // As Reverted, but the faults appeared after the move was done.
    Superseded, // A new document changed the service's versions.
};

} // namespace jackdawweir::document

MSGPACK_ADD_ENUM(jackdawweir::document::move_phase)

namespace jackdawweir::document {

// Shares of moves are in basis points: 10,000 basis points are the whole traffic of the service.
constexpr std::uint32_t wholeShareBasisPoints = 10'000;

struct move_state {
    // Increases in the order in which the moves of a configuration are accepted.
    std::uint64_t id = 0;
    move_request request;
    core::wall_time acceptedAt;
    move_phase phase = move_phase::Running;
    // The share of the new version; the old version gets the rest.
    std::uint32_t newShareBasisPoints = 0;
    // Why the move is in this phase, with the measurements behind it, in one line for operators.
    std::string reason;

    friend bool operator==(const move_state &, const move_state &) = default;

    MSGPACK_DEFINE_ARRAY(id, request, acceptedAt, phase, newShareBasisPoints, reason)
};

// A change of one move that the source commits. It is ignored if the move no longer has the
// expected phase and share, so that a decision delayed by a change of leader cannot overwrite a
// newer state.
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
