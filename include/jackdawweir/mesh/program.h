// Runs a mesh process from its settings file until a stop signal: a node on the hosts of backend
// servers, a source on the hosts with a disk. The interface to backend servers and operators is
// passed in.
//
//     external_interface external;
//     external.headers = ...;
//     external.handleServerCall = [](const auto &call, node &localNode, auto arrivedAt) { ... };
//     return runMesh("/etc/jackdawweir/mesh.yaml", external);

#pragma once

#include <functional>
#include <memory>
#include <string>

#include "jackdawweir/forwarding/server_gateway.h"
#include "jackdawweir/http/listener.h"
#include "jackdawweir/mesh/node.h"
#include "jackdawweir/mesh/source.h"

namespace jackdawweir::mesh {

// The interface to callers, backend servers and operators.
struct external_interface {
    forwarding::header_names headers;
    // The path of the readiness check of a node.
    std::string readinessPath;
    // Answers a call of a backend server on the host.
    std::function<void(const std::shared_ptr<http::exchange> &call,
                       node &localNode,
                       server_call_address arrivedAt)>
        handleServerCall;
    // Answers a call of an operator.
    std::function<void(const std::shared_ptr<http::exchange> &call, source &localSource)>
        handleOperatorCall;
};

// Exit codes of runMesh.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
// The shutdown timeout expired while requests were in flight.
constexpr int exitRequestsCutOff = 5;

// Returns the exit code. SIGTERM and SIGINT stop the process once the requests in flight have
// ended; SIGHUP, or a change of the settings file, reloads the settings.
int runMesh(const std::string &settingsPath, const external_interface &external);

} // namespace jackdawweir::mesh
