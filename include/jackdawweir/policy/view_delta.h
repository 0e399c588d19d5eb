// The difference between two policy views. Sending it instead of the whole view keeps the transfer
// to each node small when little has changed.
//
//     const view_delta delta = makeDelta(held, newest);
//     core::result<policy_view> applied = applyDelta(held, delta);

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/digest.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/policy/policy_state.h"

namespace jackdawweir::policy {

struct view_delta {
    // The revision that the delta applies to, and the one that results.
    std::uint64_t base = 0;
    std::uint64_t revision = 0;
    std::uint64_t number = 0;
    std::vector<route> changedRoutes;
    std::vector<core::route_name> removedRoutes;
    // Always complete, since they are small compared with the routes.
    std::vector<service> services;
    caller_limits limits;
    std::map<core::service_name, core::version_name> versions;
    std::vector<rollout> rollouts;
    // The digest of the resulting view.
    core::digest result;
    std::vector<workspace> changedWorkspaces;
    std::vector<workspace_name> removedWorkspaces;
    std::set<core::data_centre_name> evacuated;
    std::map<core::data_centre_name, std::uint64_t> evacuationEnds;

    MSGPACK_DEFINE_ARRAY(base,
                         revision,
                         number,
                         changedRoutes,
                         removedRoutes,
                         services,
                         limits,
                         versions,
                         rollouts,
                         result,
                         changedWorkspaces,
                         removedWorkspaces,
                         evacuated,
                         evacuationEnds)
};

// Returns the view as nodes hold it: without the original text of the policy, and with the routes
// and the workspaces sorted by name.
policy_view forNodes(const policy_view &view);

core::digest digestOf(const policy_view &view);

// Returns the delta from one view to another, both as returned by forNodes().
view_delta makeDelta(const policy_view &from, const policy_view &to);

// Returns the view that results. Errors: Conflict if the view is not the delta's base; DataLoss if
// the result is not the view for which the delta was made.
core::result<policy_view> applyDelta(const policy_view &held, const view_delta &delta);

// Sent by a source to a node that requests the newest view.
using view_change = std::variant<policy_view, view_delta>;

// Encodes and compresses a change. Compression reduces thousands of routes to a tenth of their
// size.
std::string encodeViewChange(const view_change &change);

// Errors: DataLoss if the bytes are not a view change; the error names `source`.
core::result<view_change> decodeViewChange(std::string_view bytes, const core::endpoint &source);

// Returns the view that results. Errors: as for applyDelta().
core::result<policy_view> applyChange(const policy_view &held, const view_change &change);

} // namespace jackdawweir::policy
