// Runs a mesh process from its settings file until a stop signal: a node on the hosts of backend
// servers, a source on the hosts with a disk. What speaks to the outside is passed in.
//
//     outside_interface interface;
//     interface.headers = ...;
//     interface.serverCall = [](const std::shared_ptr<http::exchange> &open, node &own) { ... };
//     return runMesh("/etc/jackdawweir/mesh.yaml", interface);

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "jackdawweir/forwarding/server_gateway.h"
#include "jackdawweir/http/listener.h"
#include "jackdawweir/mesh/node.h"
#include "jackdawweir/mesh/source.h"

namespace jackdawweir::mesh {

struct outside_interface {
    forwarding::header_names headers;
    // The path that tells whether a node takes requests.
    std::string readinessPath;
    // Answers a call of a backend server of the host.
    std::function<void(const std::shared_ptr<http::exchange> &open, node &own)> serverCall;
    // Answers a call of an operator.
    std::function<void(const std::shared_ptr<http::exchange> &open, source &own)> operatorCall;
};

// Exit codes of runMesh.
constexpr int exitDone = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
// The shutdown timeout ended while requests were in flight.
constexpr int exitCutOff = 5;

// Returns the exit code. SIGTERM and SIGINT stop the process after the requests in flight; SIGHUP,
// or a changed file, reads the settings again.
int runMesh(const std::string &settingsPath, const outside_interface &outside);

} // namespace jackdawweir::mesh
