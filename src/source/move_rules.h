// Rules by which submitted documents and decisions change the state of moves.

#pragma once

#include <cstdint>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/document/move_state.h"

namespace jackdawweir::source {

// Returns the moves after `submitted` replaces `current`. A move whose request is unchanged keeps
// its state; a new one starts at share zero with an id above `lastId`. Errors: InvalidArgument if a
// service has two moves, if a service gets another move while one is running, or if the completion
// time of a new move has passed.
core::result<std::vector<document::move_state>>
movesAfterSubmission(const document::document &current,
                     const document::document &submitted,
                     const std::vector<document::move_state> &currentMoves,
                     std::uint64_t lastId,
                     core::wall_time now);

// Returns whether a decision is based on the current phase and share of the move and leads to a
// valid next phase and share.
bool isDecisionValid(const document::move_decision &decision, const document::move_state &move);

} // namespace jackdawweir::source
