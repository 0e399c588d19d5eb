// Request keys of the form "<unix seconds>-<random>", and the limits of their age.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"

namespace jackdawweir::ledger {

// The ledger keeps a key for this time after its issue.
constexpr std::chrono::seconds keyLifetime = std::chrono::hours(1);
// The assumed maximum difference between the clocks of two hosts.
constexpr std::chrono::seconds clockSkew = std::chrono::minutes(1);
// A key whose time of issue is further in the future than this is rejected.
constexpr std::chrono::seconds maxAhead = std::chrono::minutes(1);
constexpr std::size_t maxKeyBytes = 128;

// The current time as passed to the state machines: monotonic time for timeouts, wall time for the
// age of keys.
struct ledger_time {
    core::monotonic_time monotonic;
    core::wall_time wall;
};

// Returns the time of issue that a key contains. Errors: InvalidArgument for a malformed key; the
// request is answered as `not-run` (400).
core::result<core::wall_time> issueTimeOf(const core::request_key &key);

// Checks a caller's key at a node. Errors: InvalidArgument as above; DeadlineExceeded for a key
// that is too old or too far in the future, which is answered as `unknown`.
core::status checkKey(const core::request_key &key, core::wall_time now);

// Returns a new key for a request that arrived without one.
core::request_key newKey(core::wall_time now, core::random_engine &engine);

} // namespace jackdawweir::ledger
