// How documents and decisions change the moves.

#pragma once

#include <cstdint>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/document/move_state.h"

namespace jackdawweir::source {

// Returns the moves held after `submitted` replaces `current`. A request that stays keeps its
// state; a new one starts at share zero with an id after `lastId`. Errors: InvalidArgument where a
// service's move still runs and another is asked for, or a new completion time has passed.
core::result<std::vector<document::move_state>>
movesAfter(const document::document &current,
           const document::document &submitted,
           const std::vector<document::move_state> &held,
           std::uint64_t lastId,
           core::wall_time now);

// Returns whether a decision was made for the phase and share the move still has, and leads to a
// phase that may follow.
bool isDecisionValid(const document::move_decision &decision, const document::move_state &held);

} // namespace jackdawweir::source
