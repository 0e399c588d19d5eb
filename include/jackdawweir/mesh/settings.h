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

// What a node needs besides what every process has.
struct node_settings {
    // The address that callers on the host send requests to.
    core::endpoint callers;
    // The address that tells whether the node takes requests.
    core::endpoint readiness;
    // The service of the backend server on the host.
    core::service_name service;

    friend bool operator==(const node_settings &, const node_settings &) = default;
};

struct source_settings {
    // The folder whose files survive a restart.
    std::string dataFolder;
    // True only when the whole mesh starts for the first time, with empty disks.
    bool bootstrap = false;

    friend bool operator==(const source_settings &, const source_settings &) = default;
};

struct mesh_settings {
    core::host_name host;
    core::data_centre_name dataCentre;
    // The address that backend servers of the host, or operators, call.
    core::endpoint operators;
    // The address of this process for the other processes of the mesh.
    core::endpoint mesh;
    // Mesh addresses of some sources; the others are learned from these.
    std::vector<core::endpoint> sources;
    // Serves metrics; empty for none.
    core::endpoint metrics;
    // Exactly one of the two is present.
    std::optional<node_settings> node;
    std::optional<source_settings> source;

    // A leaving backend server gets no request later than this.
    std::chrono::milliseconds drainTime{2'000};
    // From the stop signal to the end of the process.
    std::chrono::milliseconds shutdownTimeout{6'000};
    // The budget of repeats of the whole mesh, for each service.
    double retryRatio = 0.2;
    double retryAllowance = 50;
    std::chrono::milliseconds retryWindow{10'000};
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
