#include "jackdawweir/policy/view_delta.h"

#include <algorithm>
#include <utility>

#include "jackdawweir/wire/codec.h"
#include "jackdawweir/wire/compression.h"

namespace jackdawweir::policy {

namespace {

using routes_by_name = std::map<core::route_name, route>;

routes_by_name indexByName(const std::vector<route> &routes)
{
    routes_by_name sorted;
    for (const route &each : routes) {
        sorted.emplace(each.name, each);
    }
    return sorted;
}

std::vector<route> toVector(const routes_by_name &sorted)
{
    std::vector<route> routes;
    routes.reserve(sorted.size());
    for (const auto &[name, each] : sorted) {
        routes.push_back(each);
    }
    return routes;
}

} // namespace

policy_view forNodes(const policy_view &view)
{
    policy_view reduced = view;
    reduced.policy.original.clear();
    reduced.policy.routes = toVector(indexByName(view.policy.routes));
    return reduced;
}

core::digest digestOf(const policy_view &view)
{
    return core::digestOf(wire::encodeValue(view));
}

view_delta makeDelta(const policy_view &from, const policy_view &to)
{
    view_delta delta;
    delta.base = from.revision;
    delta.revision = to.revision;
    delta.number = to.policy.number;
    delta.services = to.policy.services;
    delta.limits = to.policy.limits;
    delta.versions = to.versions;
    delta.rollouts = to.rollouts;
    delta.result = digestOf(to);
    const routes_by_name before = indexByName(from.policy.routes);
    const routes_by_name after = indexByName(to.policy.routes);
    for (const auto &[name, each] : after) {
        const auto held = before.find(name);
        if (held == before.end() || !(held->second == each)) {
            delta.changedRoutes.push_back(each);
        }
    }
    for (const auto &[name, each] : before) {
        if (!after.contains(name)) {
            delta.removedRoutes.push_back(name);
        }
    }
    return delta;
}

core::result<policy_view> applyDelta(const policy_view &held, const view_delta &delta)
{
    if (held.revision != delta.base) {
        return core::error{core::error_code::Conflict,
                           "apply-delta",
                           "",
                           "the revision of the view is not the base of the delta"};
    }
    routes_by_name routes = indexByName(held.policy.routes);
    for (const core::route_name &each : delta.removedRoutes) {
        routes.erase(each);
    }
    for (const route &each : delta.changedRoutes) {
        routes[each.name] = each;
    }
    policy_view result;
    result.revision = delta.revision;
    result.policy.number = delta.number;
    result.policy.routes = toVector(routes);
    result.policy.services = delta.services;
    result.policy.limits = delta.limits;
    result.versions = delta.versions;
    result.rollouts = delta.rollouts;
    if (digestOf(result) != delta.result) {
        return core::error{core::error_code::DataLoss,
                           "apply-delta",
                           "",
                           "the digest of the resulting view does not match the delta"};
    }
    return result;
}

std::string encodeViewChange(const view_change &change)
{
    return wire::compress(wire::encode(change));
}

core::result<view_change> decodeViewChange(std::string_view bytes, const core::endpoint &source)
{
    const core::result<std::string> unpacked = wire::decompress(bytes);
    if (const core::error *failure = core::errorIn(unpacked)) {
        return *failure;
    }
    return wire::decode<view_change>(core::valueIn(unpacked), source);
}

core::result<policy_view> applyChange(const policy_view &held, const view_change &change)
{
    if (const auto *whole = std::get_if<policy_view>(&change)) {
        return *whole;
    }
    return applyDelta(held, std::get<view_delta>(change));
}

} // namespace jackdawweir::policy
