// What the console needs from the daemon. Tests use a fake; the daemon forwards to its source
// replica or, on a host without one, over the mesh.

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

// A document to be accepted in place of the version its author saw.
struct submission {
    core::submission_id id;
    core::config_version expected;
    // The document exactly as received.
    std::string yaml;
};

struct submission_accepted {
    core::config_version version;
};

struct submission_refused {
    core::error reason;
};

// Another change was accepted first.
struct submission_conflict {
    core::config_version winning;
};

// The submission may or may not have been accepted; sending it again with the same id tells.
struct submission_unknown {
    std::string reason;
};

using submission_outcome = std::
    variant<submission_accepted, submission_refused, submission_conflict, submission_unknown>;

struct current_document {
    // What a submission that changes this document must expect.
    core::config_version version;
    // The bytes as accepted; empty before the first document.
    std::string yaml;
};

// One committed change.
struct history_entry {
    core::config_version version;
    core::wall_time acceptedAt;
    // Empty for a change that no operator submitted, for example of a move's share.
    core::submission_id submission;
    std::string summary;
};

struct process_status {
    core::host_name host;
    core::data_centre_name dataCentre;
    core::region_name region;
    // "node", "relay" or "source", joined by "+" where a process has several roles.
    std::string role;
    core::config_version inForce;
    bool serving = false;
    bool draining = false;
    // True on a source that holds the leader lease.
    bool leader = false;
    // Why the process does not serve or accept, in one line; empty when all is well.
    std::string reason;
    std::uint64_t backendServers = 0;
};

// Called from several threads of the console at the same time. Calls may block while an outcome is
// decided, but end in bounded time.
class control_plane
{
public:
    control_plane() = default;
    control_plane(const control_plane &) = delete;
    control_plane &operator=(const control_plane &) = delete;
    virtual ~control_plane() = default;

    virtual submission_outcome submit(const submission &submitted) = 0;
    virtual core::result<current_document> currentDocument() = 0;
    // Oldest first.
    virtual core::result<std::vector<history_entry>> history() = 0;
    virtual core::result<std::vector<document::move_state>> moves() = 0;
    virtual process_status status() = 0;
    // One JSON line for each event, as observe::timeline::toJsonLines returns them.
    virtual std::string timelineLines() = 0;
    // Starts the graceful shutdown and returns at once.
    virtual core::status drain() = 0;
    // Makes this source the only voter of a new deployment.
    virtual core::status init() = 0;
    // Takes in a backend server of this host. The console leaves host and dataCentre empty.
    virtual core::status announce(const membership::backend_server &announced) = 0;
    virtual core::status withdraw(const core::endpoint &address, std::uint64_t incarnation) = 0;
    // The Prometheus text exposition.
    virtual std::string metricsText() = 0;
    // The time by which completion times are checked and pages are dated.
    virtual core::wall_time now() const = 0;
};

} // namespace jackdawweir::console
