// The configuration that a node applies: the accepted document with the state of its moves. It is
// encoded as named resources so that two configurations can be compared and sent as a delta.
//
//     const resource_map resources = toResources(doc, moves);
//     core::result<configuration> built = configurationFrom(version, resources);

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jackdawweir/core/config_version.h"
#include "jackdawweir/core/digest.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/document/move_state.h"

namespace jackdawweir::document {

// Maps each resource name to its canonical bytes. Names are "service/NAME", "route/NAME" or
// "move/SERVICE".
using resource_map = std::map<std::string, std::string>;

struct configuration {
    core::config_version version;
    std::vector<service> services;
    std::vector<route> routes;
    // At most one move for each service.
    std::vector<move_state> moves;

    const service *findService(const core::service_name &name) const;
    const move_state *findMove(const core::service_name &name) const;
};

// The share of a service's traffic that one version currently receives, in basis points.
struct effective_share {
    core::version_name version;
    std::uint32_t basisPoints = 0;

    friend bool operator==(const effective_share &, const effective_share &) = default;
};

// Returns the shares of a service with the state of its move applied: the sum of the shares that
// the document gives to the old and the new version is split between them by the move's share.
// Empty for an unknown service. The shares sum to wholeShareBasisPoints.
std::vector<effective_share> effectiveShares(const configuration &config,
                                             const core::service_name &name);

// Returns the resources of a document and its moves. Equal input yields equal bytes on every host.
resource_map toResources(const document &accepted, const std::vector<move_state> &moves);

// Returns the digest that a config_version carries.
core::digest digestOf(const resource_map &resources);

// Decodes and validates a configuration. All checks run before it is returned, so a caller gets the
// whole configuration or none of it. Errors: DataLoss if the digest differs from the version's or a
// resource cannot be decoded; InvalidArgument if a route or move refers to a service or version
// that the resources do not contain.
core::result<configuration> configurationFrom(const core::config_version &version,
                                              const resource_map &resources);

} // namespace jackdawweir::document
