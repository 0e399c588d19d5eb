// The difference between two policy views, so that a small change costs few bytes on each node.
//
//     const view_delta delta = makeDelta(held, newest);
//     core::result<policy_view> applied = applyDelta(held, delta);

#pragma once

#include <cstdint>
#include <map>
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
    // Small beside the routes, so they are always whole.
    std::vector<service> services;
    caller_limits limits;
    std::map<core::service_name, core::version_name> versions;
    std::vector<rollout> rollouts;
    // Of the resulting view.
    core::digest result;

    MSGPACK_DEFINE_ARRAY(base,
                         revision,
                         number,
                         changedRoutes,
                         removedRoutes,
                         services,
                         limits,
                         versions,
                         rollouts,
                         result)
};

// Returns the view as nodes hold it: without the operator's own text, and routes in the order of
// their names.
policy_view forNodes(const policy_view &view);

core::digest digestOf(const policy_view &view);

// Both views are as forNodes returns them.
view_delta makeDelta(const policy_view &from, const policy_view &to);

// Errors: Conflict where the view is not the delta's base; DataLoss where the result is not the
// view that the delta was made for.
core::result<policy_view> applyDelta(const policy_view &held, const view_delta &delta);

// What a source sends to a node that asks for the newest view.
using view_change = std::variant<policy_view, view_delta>;

// Encodes and compresses: thousands of routes compress to a tenth.
std::string encodeViewChange(const view_change &change);

// Errors: DataLoss where the bytes are no change; `source` is named.
core::result<view_change> decodeViewChange(std::string_view bytes, const core::endpoint &source);

// Returns the view that results. Errors: as applyDelta.
core::result<policy_view> applyChange(const policy_view &held, const view_change &change);

} // namespace jackdawweir::policy
