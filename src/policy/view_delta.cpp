#include "jackdawweir/policy/view_delta.h"

#include <algorithm>
#include <utility>

#include "jackdawweir/wire/codec.h"
#include "jackdawweir/wire/compression.h"

namespace jackdawweir::policy {

namespace {

// Routes or workspaces by name.
template<typename Item>
using by_name = std::map<decltype(Item::name), Item>;

template<typename Item>
by_name<Item> indexByName(const std::vector<Item> &items)
{
    by_name<Item> sorted;
    for (const Item &each : items) {
        sorted.emplace(each.name, each);
    }
    return sorted;
}

template<typename Item>
std::vector<Item> toVector(const by_name<Item> &sorted)
{
    std::vector<Item> items;
    items.reserve(sorted.size());
    for (const auto &[name, each] : sorted) {
        items.push_back(each);
    }
    return items;
}

template<typename Item>
std::vector<Item> sortedByName(const std::vector<Item> &items)
{
    return toVector<Item>(indexByName(items));
}

// Adds the items that are new or differ, and the names of those that are gone.
template<typename Item>
void addDifference(const std::vector<Item> &from,
                   const std::vector<Item> &to,
                   std::vector<Item> &changed,
                   std::vector<decltype(Item::name)> &removed)
{
    const by_name<Item> before = indexByName(from);
    const by_name<Item> after = indexByName(to);
    for (const auto &[name, each] : after) {
        const auto held = before.find(name);
        if (held == before.end() || !(held->second == each)) {
            changed.push_back(each);
        }
    }
    for (const auto &[name, each] : before) {
        if (!after.contains(name)) {
            removed.push_back(name);
        }
    }
}

template<typename Item>
std::vector<Item> applyDifference(const std::vector<Item> &held,
                                  const std::vector<Item> &changed,
                                  const std::vector<decltype(Item::name)> &removed)
{
    by_name<Item> items = indexByName(held);
    for (const auto &each : removed) {
        items.erase(each);
    }
    for (const Item &each : changed) {
        items[each.name] = each;
    }
    return toVector<Item>(items);
}

} // namespace

policy_view forNodes(const policy_view &view)
{
    policy_view reduced = view;
    reduced.policy.original.clear();
    reduced.policy.routes = sortedByName(view.policy.routes);
    reduced.policy.workspaces = sortedByName(view.policy.workspaces);
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
    delta.evacuated = to.evacuated;
    delta.evacuationEnds = to.evacuationEnds;
    addDifference(from.policy.routes, to.policy.routes, delta.changedRoutes, delta.removedRoutes);
    addDifference(from.policy.workspaces,
                  to.policy.workspaces,
                  delta.changedWorkspaces,
                  delta.removedWorkspaces);
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
    policy_view result;
    result.revision = delta.revision;
    result.policy.number = delta.number;
    result.policy.routes
        = applyDifference(held.policy.routes, delta.changedRoutes, delta.removedRoutes);
    result.policy.workspaces
        = applyDifference(held.policy.workspaces, delta.changedWorkspaces, delta.removedWorkspaces);
    result.evacuated = delta.evacuated;
    result.evacuationEnds = delta.evacuationEnds;
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
