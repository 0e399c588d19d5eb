#include "jackdawweir/forwarding/server_choice.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace jackdawweir::forwarding {

namespace {

constexpr double perMille = 1000.0;

} // namespace

server_choice::server_choice(const choice_settings &settings)
    : m_settings(settings)
{
}

void server_choice::setHosts(const std::vector<fleet::host_record> &hosts, core::monotonic_time now)
{
    std::map<fleet::instance_name, known_server> next;
    for (const fleet::host_record &host : hosts) {
        for (const fleet::server_record &record : host.servers) {
            known_server server;
            const auto held = m_servers.find(record.instance);
            if (held != m_servers.end()) {
                server = held->second;
            }
            server.server
                = chosen_server{record.instance, host.endpoint, record.version, host.host};
            server.service = record.service;
            server.dataCentre = host.dataCentre;
            server.slots = std::max(record.slots, 1U);
            server.isDraining = record.isDraining || host.isLeaving;
            server.coldUntil = now + record.coldFor;
            next[record.instance] = std::move(server);
        }
    }
    m_servers = std::move(next);
    m_hostCount = hosts.size();
}

bool server_choice::isEligible(const known_server &server,
                               const wanted_server &wanted,
                               core::monotonic_time now) const
{
    if (server.service != wanted.service || server.isDraining || now < server.absentUntil
        || wanted.tried.contains(server.server.instance)
        || m_unreachable.contains(server.server.peer)) {
        return false;
    }
    return wanted.version.empty() ? !wanted.excludedVersions.contains(server.server.version)
                                  : server.server.version == wanted.version;
}

double server_choice::usualPace(const core::service_name &service) const
{
    double sum = 0;
    int count = 0;
    for (const auto &[instance, server] : m_servers) {
        if (server.service == service && server.load) {
            sum += static_cast<double>(server.load->meanRunTime.count());
            ++count;
        }
    }
    return count == 0 ? static_cast<double>(m_settings.firstPace.count()) : sum / count;
}

double server_choice::busyOf(const known_server &server, core::monotonic_time now) const
{
    const double own = server.outstanding;
    if (!server.load) {
        return own;
    }
    const double halfLives = std::chrono::duration<double>(now - server.loadAt)
        / std::chrono::duration<double>(m_settings.loadHalfLife);
    const double reported
        = static_cast<double>(server.load->running + server.load->waiting) * std::exp2(-halfLives);
    return std::max(own, reported + server.sentSince);
}

double server_choice::expectedMicros(const known_server &server,
                                     double pace,
                                     core::monotonic_time now) const
{
    const double slots = server.slots;
    const double busy = busyOf(server, now);
    if (now < server.coldUntil) {
        pace *= m_settings.coldFactor;
    }
    const double crowd = std::min(busy / slots, 1.0);
    const double wait = busy < slots ? 0.0 : (busy - slots + 1) * pace / slots;
    double expected = wait + pace * (1 + m_settings.crowdFactor * crowd * crowd);
    if (server.dataCentre != m_settings.ownDataCentre) {
        expected += static_cast<double>(m_settings.distance.count());
    }
    if (server.load) {
        expected += static_cast<double>(server.load->failuresPerMille) / perMille
            * static_cast<double>(m_settings.failureCost.count());
    }
    return expected;
}

std::optional<chosen_server> server_choice::choose(const wanted_server &wanted,
                                                   core::monotonic_time now,
                                                   core::random_engine &engine)
{
    // Summed over all servers, so only where a server's own pace is not known.
    std::optional<double> usual;
    std::uniform_real_distribution<double> vary(1 - m_settings.noise, 1 + m_settings.noise);
    const known_server *best = nullptr;
    double bestCost = 0;
    std::size_t eligible = 0;
    for (const auto &[instance, server] : m_servers) {
        if (!isEligible(server, wanted, now)) {
            continue;
        }
        ++eligible;
        if (!server.load && !usual) {
            usual = usualPace(wanted.service);
        }
        const double pace
            = server.load ? static_cast<double>(server.load->meanRunTime.count()) : *usual;
        const double cost = expectedMicros(server, pace, now) * vary(engine);
        if (best == nullptr || cost < bestCost) {
            best = &server;
            bestCost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    chosen_server chosen = best->server;
    chosen.isOnly = eligible == 1;
    return chosen;
}

void server_choice::sent(const fleet::instance_name &instance)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end()) {
        ++found->second.outstanding;
        ++found->second.sentSince;
    }
}

void server_choice::ended(const fleet::instance_name &instance,
                          const server_load &load,
                          core::monotonic_time now)
{
    const auto found = m_servers.find(instance);
    if (found == m_servers.end()) {
        return;
    }
    known_server &server = found->second;
    server.outstanding -= std::min(server.outstanding, 1U);
    if (load.slots == 0) {
        return;
    }
    server.load = load;
    server.loadAt = now;
    server.sentSince = 0;
}

void server_choice::lost(const fleet::instance_name &instance)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end()) {
        found->second.outstanding -= std::min(found->second.outstanding, 1U);
    }
}

void server_choice::setAbsent(const fleet::instance_name &instance, core::monotonic_time now)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end()) {
        found->second.absentUntil = now + m_settings.absence;
    }
}

void server_choice::setReachable(const core::endpoint &peer, bool isReachable)
{
    if (isReachable) {
        m_unreachable.erase(peer);
    } else {
        m_unreachable.insert(peer);
    }
}

bool server_choice::isReachable(const core::endpoint &peer) const
{
    return !m_unreachable.contains(peer);
}

std::chrono::microseconds server_choice::paceOf(const fleet::instance_name &instance) const
{
    const auto found = m_servers.find(instance);
    const bool isKnown = found != m_servers.end() && found->second.load.has_value();
    return isKnown ? found->second.load->meanRunTime : std::chrono::microseconds(0);
}

bool server_choice::hasVersion(const core::service_name &service,
                               const core::version_name &version) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &each) {
        return each.second.service == service && each.second.server.version == version
            && !each.second.isDraining;
    });
}

std::size_t server_choice::hostCount() const
{
    return m_hostCount;
}

std::set<core::endpoint> server_choice::peers() const
{
    std::set<core::endpoint> listed;
    for (const auto &[instance, server] : m_servers) {
        listed.insert(server.server.peer);
    }
    return listed;
}

} // namespace jackdawweir::forwarding
