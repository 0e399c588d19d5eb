// Request keys, "<unix seconds>-<random>", and the limits of their age.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"

namespace jackdawweir::ledger {

// Keys are kept for this time after their issue.
constexpr std::chrono::seconds keyLifetime = std::chrono::hours(1);
// The clocks of two hosts differ by at most this.
constexpr std::chrono::seconds clockSkew = std::chrono::minutes(1);
// A key from further ahead than this is refused.
constexpr std::chrono::seconds maxAhead = std::chrono::minutes(1);
constexpr std::size_t maxKeyBytes = 128;

// Time as a state machine sees it: the monotonic one for timeouts, the wall time for the age of
// keys.
struct ledger_time {
    core::monotonic_time monotonic;
    core::wall_time wall;
};

// Returns the time of issue that a key carries. Errors: InvalidArgument for a malformed key; the
// request is answered as `not-run` (400).
core::result<core::wall_time> issueTimeOf(const core::request_key &key);

// Checks a caller's key at a node. Errors: InvalidArgument as above; DeadlineExceeded for a key
// that is too old or too far ahead, which is answered as `unknown`.
core::status checkKey(const core::request_key &key, core::wall_time now);

// Returns a key for a request that came without one.
core::request_key newKey(core::wall_time now, core::random_engine &engine);

} // namespace jackdawweir::ledger
