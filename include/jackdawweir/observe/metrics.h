// Metrics of a process in the Prometheus text format.
//
//     metrics nodeMetrics;
//     nodeMetrics.countRequest(document::request_kind::Idempotent, request_outcome::Done);
//     const std::string exposition = nodeMetrics.toText();

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

// The direction of control traffic as seen by this process.
enum class byte_direction : std::uint8_t {
    Sent,
    Received,
};

// Returns "done", "not-run" or "unknown".
const char *toString(request_outcome outcome);

// The metrics of one process. Thread-safe. countRequest and observeAddedTime take no lock because
// they are called for every request.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    void countRequest(document::request_kind kind, request_outcome outcome);

    // Records the time that this node added to one request.
    void observeAddedTime(std::chrono::nanoseconds added);

    void setVersionInForce(const core::config_version &version);

    // Records the time from the receipt of a version until it was in force on this node.
    void observeConvergence(std::chrono::milliseconds elapsed);

    // Counts bytes of the mesh port. The channel states their purpose.
    void addControlBytes(wire::channel purpose, byte_direction direction, std::uint64_t bytes);

    // Sets the number of moves that are currently in a phase.
    void setMoves(document::move_phase phase, std::uint64_t count);

    // Returns all metrics in the text format.
    std::string toText();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::observe
