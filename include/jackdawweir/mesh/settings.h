// Checked settings of a mesh node or a mesh source, read from YAML.
//
//     const core::result<mesh_settings> read = readMeshSettings("/etc/jackdawweir/mesh.yaml");
//     if (const core::error *failure = core::errorIn(read)) { /* one line with file and line */ }

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/observe/event.h"

namespace jackdawweir::mesh {

// Bounds on what a process holds for callers that it doesn't control.
struct caller_bounds {
    // The memory that this process may use on its host.
    std::uint64_t memoryBytes = 160U << 20U;
    // The part of it that unfinished requests, responses that are not sent yet, and frames between
    // processes may take together.
    std::uint64_t heldBytes = 64U << 20U;
    // The most connections of callers, and of operators or backend servers.
    std::size_t callerConnections = 2'500;
    std::size_t controlConnections = 256;

    friend bool operator==(const caller_bounds &, const caller_bounds &) = default;
};

// The settings of a node in addition to those of every process.
struct node_settings {
    // The address that callers on the host send requests to.
    core::endpoint callers;
    // The address of the readiness check.
    core::endpoint readiness;
    // The service of the backend server on the host.
    core::service_name service;

    friend bool operator==(const node_settings &, const node_settings &) = default;
};

struct source_settings {
    // The folder whose files survive a restart.
    std::string dataFolder;
    // True only for the first start of the whole mesh, with empty disks.
    bool bootstrap = false;

    friend bool operator==(const source_settings &, const source_settings &) = default;
};

struct mesh_settings {
    core::host_name host;
    core::data_centre_name dataCentre;
    // The address for calls of the host's backend servers (node) or of operators (source).
    core::endpoint operators;
    // The address of this process for the other processes of the mesh.
    core::endpoint mesh;
    // The address on which this process accepts the links of the others, where it differs from the
    // one that they connect to.
    std::optional<core::endpoint> meshListen;
    // Mesh addresses of some sources; the others are learned from them.
    std::vector<core::endpoint> sources;
    // The address that serves metrics; empty for none.
    core::endpoint metrics;
    // Exactly one of node and source is present.
    std::optional<node_settings> node;
    std::optional<source_settings> source;

    // A leaving backend server gets no requests after this time.
    std::chrono::milliseconds drainTime{2'000};
    // The longest time from the stop signal to the end of the process.
    std::chrono::milliseconds shutdownTimeout{6'000};
    // The retry budget of the whole mesh for each service.
    double retryRatio = 0.2;
    double retryAllowance = 50;
    std::chrono::milliseconds retryWindow{10'000};
    // The requests that a bad version may get during a rollout: this fraction of all requests of
    // the service, and this many more.
    double rolloutExposureRatio = 0.1;
    double rolloutExposureAllowance = 50;
    // The requests that a workspace may send above its quota within seconds, on all hosts together.
    double quotaMargin = 0;
    caller_bounds callerBounds;
    observe::log_level logLevel = observe::log_level::Info;

    friend bool operator==(const mesh_settings &, const mesh_settings &) = default;
};

// Errors: InvalidArgument, with file, line and field.
core::result<mesh_settings> parseMeshSettings(std::string_view yaml, const std::string &fileName);

// Errors: NotFound where the file cannot be read.
core::result<std::string> readSettingsText(const std::string &path);

// Errors: NotFound where the file cannot be read; InvalidArgument.
core::result<mesh_settings> readMeshSettings(const std::string &path);

} // namespace jackdawweir::mesh
