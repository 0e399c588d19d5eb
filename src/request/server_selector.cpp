#include "jackdawweir/request/server_selector.h"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace jackdawweir::request {

namespace {

// The fraction of its slots that a server may use at the beginning of slow start.
constexpr double initialSlotFraction = 0.1;
// The weight of the used fraction of a server's slots relative to its latency.
constexpr double loadWeight = 2.0;
// The version counts as full after this many choices whose last slot another thread took first.
constexpr int maxLostRaces = 8;

double drawBelow(double limit, core::random_engine &engine)
{
    return std::uniform_real_distribution<double>(0.0, limit)(engine);
}

template<typename List, typename Value>
bool contains(const List &list, const Value &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

std::shared_ptr<server_health> server_selector::healthOf(const core::endpoint &address) const
{
    const auto found = m_health.find(address);
    return found == m_health.end() ? nullptr : found->second.health;
}

double server_selector::slotsOf(const candidate &each, core::monotonic_time now) const
{
    const double slots = each.server.slots;
    const std::chrono::duration<double> remaining = each.health->slowStartEnd() - now;
    const std::chrono::duration<double> slowStartTime = m_settings.slowStart;
    if (remaining.count() <= 0.0 || slowStartTime.count() <= 0.0) {
        return slots;
    }
    const double fraction = initialSlotFraction
        + (1.0 - initialSlotFraction) * (1.0 - remaining.count() / slowStartTime.count());
    return std::max(1.0, slots * fraction);
}

std::uint32_t server_selector::limitOf(const candidate &each, core::monotonic_time now) const
{
    const std::uint32_t connections
        = std::max(each.server.connections / std::max(m_settings.nodeCount, 1U), 1U);
    return std::min(static_cast<std::uint32_t>(slotsOf(each, now)), connections);
}

bool server_selector::hasFreeSlot(const candidate &each, core::monotonic_time now) const
{
    return !each.health->isFull(now) && each.health->inFlight() < limitOf(each, now)
        && each.health->estimatedLoad(now) < slotsOf(each, now);
}

bool server_selector::isCheaper(const candidate &left,
                                const candidate &right,
                                double factor,
                                core::monotonic_time now) const
{
    double leftLatency = static_cast<double>(left.health->latency(now).count());
    double rightLatency = static_cast<double>(right.health->latency(now).count());
    // Latencies are compared only if both are known; a server without samples would otherwise look
    // infinitely fast.
    if (leftLatency == 0.0 || rightLatency == 0.0) {
        leftLatency = 1.0;
        rightLatency = 1.0;
    }
    const auto costOf = [this, now](const candidate &each, double latency) {
        const double used = each.health->estimatedLoad(now) / slotsOf(each, now);
        return latency * (1.0 + loadWeight * used) * (1.0 + each.health->faultScore());
    };
    return costOf(left, leftLatency) * factor < costOf(right, rightLatency);
}

server_selector::candidate_list server_selector::ejectedServers(const service_group &group,
                                                                core::monotonic_time now) const
{
    candidate_list ejected;
    const std::uint32_t maxEjected = group.serverCount / 2;
    for (const version_group &version : group.versions) {
        for (const candidate &each : version.servers) {
            if (ejected.size() < maxEjected && each.health->isEjected(now)) {
                ejected.push_back(&each);
            }
        }
    }
    return ejected;
}

server_selector::candidate_list server_selector::usableServers(const version_group &group,
                                                               const candidate_list &ejected,
                                                               const core::endpoint &avoided) const
{
    candidate_list usable;
    candidate_list avoidedOnly;
    for (const candidate &each : group.servers) {
        if (contains(ejected, &each)) {
            continue;
        }
        (each.server.address == avoided ? avoidedOnly : usable).push_back(&each);
    }
    if (!usable.empty()) {
        return usable;
    }
    if (!avoidedOnly.empty()) {
        return avoidedOnly;
    }
    // Every server of the version is ejected, so the requests are spread over all of them.
    for (const candidate &each : group.servers) {
        usable.push_back(&each);
    }
    return usable;
}

const server_selector::candidate *server_selector::betterOfTwo(const candidate_list &list,
                                                               core::monotonic_time now,
                                                               core::random_engine &engine) const
{
    if (list.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> draw(0, list.size() - 1);
    const candidate *first = list[draw(engine)];
    const candidate *second = list[draw(engine)];
    return isCheaper(*second, *first, 1.0, now) ? second : first;
}

const server_selector::candidate *
server_selector::drawBySpareCapacity(const candidate_list &list,
                                     core::monotonic_time now,
                                     core::random_engine &engine) const
{
    double total = 0.0;
    for (const candidate *each : list) {
        total += std::max(0.0, slotsOf(*each, now) - each->health->estimatedLoad(now));
    }
    double drawn = drawBelow(total, engine);
    for (const candidate *each : list) {
        drawn -= std::max(0.0, slotsOf(*each, now) - each->health->estimatedLoad(now));
        if (drawn < 0.0) {
            return each;
        }
    }
    return list.empty() ? nullptr : list.back();
}

const server_selector::candidate *server_selector::choose(const candidate_list &usable,
                                                          const selection_criteria &criteria,
                                                          core::monotonic_time now,
                                                          core::random_engine &engine) const
{
    candidate_list local;
    candidate_list remote;
    candidate_list queueing;
    for (const candidate *each : usable) {
        if (hasFreeSlot(*each, now)) {
            (each->isOwnDataCentre ? local : remote).push_back(each);
        } else if (!each->health->isFull(now) && each->health->inFlight() < limitOf(*each, now)
                   && each->health->estimatedLoad(now)
                       < slotsOf(*each, now) * criteria.queueFactor) {
            queueing.push_back(each);
        }
    }
    const candidate *localChoice = betterOfTwo(local, now, engine);
    if (localChoice == nullptr && remote.empty()) {
        return betterOfTwo(queueing, now, engine);
    }
    if (localChoice == nullptr) {
        return drawBySpareCapacity(remote, now, engine);
    }
    const candidate *remoteChoice = betterOfTwo(remote, now, engine);
    const bool prefersRemote = remoteChoice != nullptr
        && isCheaper(*remoteChoice, *localChoice, m_settings.localityFactor, now);
    return prefersRemote ? remoteChoice : localChoice;
}

std::optional<server_claim> server_selector::claimServer(const version_group &group,
                                                         const candidate_list &ejected,
                                                         const selection_criteria &criteria,
                                                         core::monotonic_time now,
                                                         core::random_engine &engine) const
{
    const candidate_list usable = usableServers(group, ejected, criteria.avoided);
    for (int race = 0; race < maxLostRaces; ++race) {
        const candidate *chosen = choose(usable, criteria, now, engine);
        if (chosen == nullptr) {
            return std::nullopt;
        }
        const bool isBusy = chosen->health->estimatedLoad(now) >= chosen->server.slots;
        if (chosen->health->tryAcquire(limitOf(*chosen, now))) {
            const bool isCold = now < chosen->health->slowStartEnd();
            return server_claim(chosen->server, chosen->health, isCold, isBusy);
        }
    }
    return std::nullopt;
}

core::result<server_claim> server_selector::select(const core::service_name &service,
                                                   core::monotonic_time now,
                                                   core::random_engine &engine,
                                                   const core::endpoint &avoided,
                                                   document::request_urgency urgency) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.totalBasisPoints == 0) {
        return core::error{core::error_code::NotFound,
                           "select-server",
                           "",
                           absl::StrCat("service '", service.value, "' has no ready server")};
    }
    const service_group &group = found->second;
    std::uniform_int_distribution<std::uint32_t> draw(0, group.totalBasisPoints - 1);
    std::uint32_t drawn = draw(engine);
    const version_group *version = &group.versions.front();
    for (const version_group &each : group.versions) {
        version = &each;
        if (drawn < each.basisPoints) {
            break;
        }
        drawn -= each.basisPoints;
    }
    const candidate_list ejected = ejectedServers(group, now);
    const selection_criteria criteria{avoided,
                                      m_settings.queueFactors[static_cast<std::size_t>(urgency)]};
    std::optional<server_claim> claim = claimServer(*version, ejected, criteria, now, engine);
    if (!claim && group.overflow != nullptr && group.overflow != version) {
        claim = claimServer(*group.overflow, ejected, criteria, now, engine);
    }
    if (!claim) {
        return core::error{core::error_code::ResourceExhausted,
                           "select-server",
                           "",
                           absl::StrCat("no server of '", service.value, "' has a free slot")};
    }
    return *std::move(claim);
}

} // namespace jackdawweir::request
