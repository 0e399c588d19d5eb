#include <algorithm>

#include "jackdawweir/request/server_selector.h"

namespace jackdawweir::request {

namespace {

// A version with at least one ready server.
struct weighted_version {
    std::uint32_t declaredShare = 0;
    std::uint32_t share = 0;
    bool isExcluded = false;
    // The new version of a running move: its share is bounded while the move gathers evidence about
    // it, so it never gets the share of another version that can serve requests.
    bool isBounded = false;
    // The old version of the service's completed move, which may still have servers.
    bool isOld = false;
};

std::uint32_t unboundedShare(const std::vector<weighted_version> &versions)
{
    std::uint32_t sum = 0;
    for (const weighted_version &each : versions) {
        sum += each.isBounded ? 0 : each.share;
    }
    return sum;
}

// Sets the shares of the versions before scaling. Returns true if the versions without a bound can
// take the rest of the traffic.
bool assignUnboundedShares(std::vector<weighted_version> &versions)
{
    for (weighted_version &each : versions) {
        each.share = each.isExcluded ? 0 : each.declaredShare;
    }
    if (unboundedShare(versions) > 0) {
        return true;
    }
    for (weighted_version &each : versions) {
        if (each.isOld && !each.isExcluded) {
            each.share = document::wholeShareBasisPoints;
            return true;
        }
    }
    // Every version without a bound is excluded, but the circuit breakers must not reject every
    // request.
    for (weighted_version &each : versions) {
        each.share = each.isBounded ? each.share : each.declaredShare;
    }
    return unboundedShare(versions) > 0;
}

void assignShares(std::vector<weighted_version> &versions)
{
    if (!assignUnboundedShares(versions)) {
        for (weighted_version &each : versions) {
            each.share = each.declaredShare;
        }
        return;
    }
    std::uint32_t bounded = 0;
    for (const weighted_version &each : versions) {
        bounded += each.isBounded ? each.share : 0;
    }
    const std::uint32_t unbounded = unboundedShare(versions);
    const std::uint32_t remainder
        = document::wholeShareBasisPoints - std::min(bounded, document::wholeShareBasisPoints);
    for (weighted_version &each : versions) {
        if (!each.isBounded) {
            each.share = each.share * remainder / unbounded;
        }
    }
}

std::uint32_t shareOf(const std::vector<document::effective_share> &shares,
                      const core::version_name &version)
{
    const auto found = std::find_if(
        shares.begin(), shares.end(), [&version](const document::effective_share &each) {
            return each.version == version;
        });
    return found == shares.end() ? 0 : found->basisPoints;
}

} // namespace

server_selector::server_selector(const selector_settings &settings,
                                 const selector_input &input,
                                 const server_selector *previous,
                                 core::monotonic_time now)
    : m_settings(settings)
{
    for (const membership::backend_server &each : input.servers) {
        m_health[each.address] = healthFor(each, previous, now);
    }
    if (previous != nullptr) {
        keepUnlisted(*previous, now);
    }
    addServers(input);
    for (const document::service &each : input.activeConfiguration.services) {
        setShares(input, each);
    }
}

server_selector::health_entry server_selector::healthFor(const membership::backend_server &server,
                                                         const server_selector *previous,
                                                         core::monotonic_time now) const
{
    const auto make = [this, now, &server](core::monotonic_time slowStartEnd) {
        return health_entry{std::make_shared<server_health>(m_settings.health, slowStartEnd),
                            server.incarnation,
                            now};
    };
    if (previous == nullptr) {
        return make(now);
    }
    const auto previousEntry = previous->m_health.find(server.address);
    if (previousEntry != previous->m_health.end()
        && previousEntry->second.incarnation == server.incarnation
        && server.state != membership::server_state::Starting) {
        return health_entry{previousEntry->second.health, server.incarnation, now};
    }
    // Slow start begins when the server is first seen in state Ready, so its end is set anew as
    // long as the server is in state Starting.
    return make(now + m_settings.slowStart);
}

void server_selector::keepUnlisted(const server_selector &previous, core::monotonic_time now)
{
    for (const auto &[address, entry] : previous.m_health) {
        if (now - entry.lastListed <= m_settings.removeAfter) {
            m_health.try_emplace(address, entry);
        }
    }
}

void server_selector::addServers(const selector_input &input)
{
    for (const membership::backend_server &each : input.servers) {
        const document::service *owner = input.activeConfiguration.findService(each.service);
        if (owner == nullptr || each.state != membership::server_state::Ready) {
            continue;
        }
        service_group &group = m_services[each.service];
        if (group.versions.empty()) {
            for (const document::version_share &share : owner->versions) {
                group.versions.push_back(version_group{share.version, 0, {}});
            }
        }
        for (version_group &version : group.versions) {
            if (version.version == each.version) {
                const bool isOwn = each.dataCentre == m_settings.ownDataCentre;
                version.servers.push_back(candidate{each, m_health.at(each.address).health, isOwn});
                ++group.serverCount;
            }
        }
    }
}

void server_selector::setShares(const selector_input &input, const document::service &service)
{
    const auto found = m_services.find(service.name);
    if (found == m_services.end()) {
        return;
    }
    service_group &group = found->second;
    const document::move_state *move = input.activeConfiguration.findMove(service.name);
    const std::vector<document::effective_share> shares
        = document::effectiveShares(input.activeConfiguration, service.name);
    std::erase_if(group.versions, [](const version_group &each) { return each.servers.empty(); });

    std::vector<weighted_version> versions;
    for (const version_group &each : group.versions) {
        weighted_version version;
        version.declaredShare = shareOf(shares, each.version);
        version.isExcluded = input.excluded.contains({service.name, each.version});
        version.isBounded = move != nullptr && move->phase == document::move_phase::Running
            && move->request.to == each.version;
        version.isOld = move != nullptr && move->phase == document::move_phase::Done
            && move->request.from == each.version;
        versions.push_back(version);
    }
    assignShares(versions);
    for (std::size_t index = 0; index < versions.size(); ++index) {
        version_group &each = group.versions[index];
        each.basisPoints = versions[index].share;
        group.totalBasisPoints += each.basisPoints;
        const bool mayOverflow = !versions[index].isBounded && each.basisPoints > 0;
        if (mayOverflow
            && (group.overflow == nullptr || group.overflow->basisPoints < each.basisPoints)) {
            group.overflow = &each;
        }
    }
}

} // namespace jackdawweir::request
