// Metrics of a process in the Prometheus text form.
//
//     metrics counted;
//     counted.countRequest(document::request_kind::Idempotent, request_outcome::Done);
//     const std::string exposition = counted.toText();

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "jackdawweir/core/config_version.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/document/move_state.h"
#include "jackdawweir/wire/frame.h"

namespace jackdawweir::observe {

// How a request ended for its caller.
enum class request_outcome : std::uint8_t {
    Done,
    NotRun,
    Unknown,
};

// The direction of control bytes, seen from this process.
enum class byte_direction : std::uint8_t {
    Sent,
    Received,
};

// Returns "done", "not-run" or "unknown".
const char *toString(request_outcome outcome);

// Counts for one process. Safe to use from several threads; countRequest and observeAddedTime take
// no lock, since they are called on the request path.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    void countRequest(document::request_kind kind, request_outcome outcome);

    // The time that this node added to one request.
    void observeAddedTime(std::chrono::nanoseconds added);

    void setVersionInForce(const core::config_version &version);

    // The time from the receipt of a version until it was in force here.
    void observeConvergence(std::chrono::milliseconds elapsed);

    // Bytes of the mesh port; the channel is their purpose.
    void addControlBytes(wire::channel purpose, byte_direction direction, std::uint64_t bytes);

    // The number of moves now in a phase.
    void setMoves(document::move_phase phase, std::uint64_t count);

    // Returns the text exposition.
    std::string toText();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::observe
