#include "jackdawweir/forwarding/weighted_split.h"

#include <cstddef>
#include <random>
#include <set>
#include <utility>

namespace jackdawweir::forwarding {

namespace {

// A split starts at one of this many positions. The first hundred requests of the round robin are
// split to within about one request of the weights, so any start gives them to within a hundredth.
constexpr std::size_t startPositions = 100;

} // namespace

weighted_split::weighted_split(const std::vector<policy::traffic_part> &parts,
                               core::random_engine &engine)
    : m_parts(parts)
    , m_credits(parts.size(), 0)
{
    std::uniform_int_distribution<std::size_t> draw(0, startPositions - 1);
    for (std::size_t skipped = draw(engine); skipped > 0; --skipped) {
        next();
    }
}

const core::service_name &weighted_split::next()
{
    double total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        m_credits[index] += m_parts[index].weight;
        total += m_parts[index].weight;
        const bool isBetter = m_credits[index] > m_credits[best] && m_parts[index].weight > 0;
        if (isBetter || m_parts[best].weight <= 0) {
            best = index;
        }
    }
    m_credits[best] -= total;
    return m_parts[best].service;
}

core::service_name route_splits::choosePart(const policy::route &route, core::random_engine &engine)
{
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    const auto held = m_splits.find(route.name);
    if (held != m_splits.end() && held->second.parts() == route.parts) {
        return held->second.next();
    }
    weighted_split split(route.parts, engine);
    return m_splits.insert_or_assign(route.name, std::move(split)).first->second.next();
}

void route_splits::retain(const std::vector<policy::route> &routes)
{
    std::set<core::route_name> retained;
    for (const policy::route &route : routes) {
        if (m_splits.contains(route.name)) {
            retained.insert(route.name);
        }
    }
    std::erase_if(m_splits, [&](const auto &each) { return !retained.contains(each.first); });
}

} // namespace jackdawweir::forwarding
