// The interface through which the console calls the daemon. The daemon forwards calls to its source
// replica or, on a host without one, over the mesh; tests use a fake.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/config_version.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/document/move_state.h"
#include "jackdawweir/membership/backend_server.h"

namespace jackdawweir::console {

// A request to replace the document of the version `expected` with a new one.
struct submission {
    core::submission_id id;
    core::config_version expected;
    // The document, byte for byte as received.
    std::string yaml;
};

struct submission_accepted {
    core::config_version version;
};

struct submission_refused {
    core::error reason;
};

// Another change was accepted first, so this one was not applied.
struct submission_conflict {
    core::config_version winning;
};

// The submission may or may not have been accepted; a resend with the same id returns the outcome.
struct submission_unknown {
    std::string reason;
};

using submission_outcome = std::
    variant<submission_accepted, submission_refused, submission_conflict, submission_unknown>;

struct current_document {
    // The expected version of a submission that changes this document.
    core::config_version version;
    // The document, byte for byte as accepted; empty before the first document.
    std::string yaml;
};

// One committed change.
struct history_entry {
    core::config_version version;
    core::wall_time acceptedAt;
    // Empty for a change that no operator submitted, such as a change of a move's share.
    core::submission_id submission;
    std::string summary;
};

struct process_status {
    core::host_name host;
    core::data_centre_name dataCentre;
    core::region_name region;
    // "node", "relay" or "source", joined by "+" if a process has several roles.
    std::string role;
    core::config_version inForce;
    bool serving = false;
    bool draining = false;
    // True on a source that holds the leader lease.
    bool leader = false;
    // Why the process does not serve requests or accept changes, in one line; empty if it does.
    std::string reason;
    std::uint64_t backendServers = 0;
};

// Implementations must be thread-safe, since the console calls them from several threads at the
// same time. Calls may block until an outcome is decided, but must return in bounded time.
class control_plane
{
public:
    control_plane() = default;
    control_plane(const control_plane &) = delete;
    control_plane &operator=(const control_plane &) = delete;
    virtual ~control_plane() = default;

    virtual submission_outcome submit(const submission &submitted) = 0;
    virtual core::result<current_document> currentDocument() = 0;
    // Returns the committed changes, oldest first.
    virtual core::result<std::vector<history_entry>> history() = 0;
    virtual core::result<std::vector<document::move_state>> moves() = 0;
    virtual process_status status() = 0;
    // Returns one JSON line for each event, as observe::timeline::toJsonLines does.
    virtual std::string timelineLines() = 0;
    // Starts the graceful shutdown and returns immediately.
    virtual core::status drain() = 0;
    // Makes this source the only voter of a new deployment.
    virtual core::status init() = 0;
    // Registers a backend server of this host. The console leaves host and dataCentre empty.
    virtual core::status announce(const membership::backend_server &announced) = 0;
    virtual core::status withdraw(const core::endpoint &address, std::uint64_t incarnation) = 0;
    // Returns the metrics in the Prometheus text exposition format.
    virtual std::string metricsText() = 0;
    // Returns the time against which completion times are checked.
    virtual core::wall_time now() const = 0;
};

} // namespace jackdawweir::console
