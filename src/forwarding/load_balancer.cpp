#include "jackdawweir/forwarding/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <utility>

#include "jackdawweir/forwarding/cold_ramp.h"
#include "jackdawweir/forwarding/server_pace.h"

namespace jackdawweir::forwarding {

namespace {

constexpr double perMille = 1000.0;
constexpr double inPercent = 100.0;

struct candidate {
    const chosen_server *server = nullptr;
    double expected = 0;
    // The expected time, varied at random.
    double cost = 0;
};

class mean
{
public:
    void add(double value)
    {
        m_sum += value;
        ++m_count;
    }

    double valueOr(double other) const
    {
        return m_count == 0 ? other : m_sum / m_count;
    }

private:
    double m_sum = 0;
    int m_count = 0;
};

const candidate &cheaperOf(const candidate &first, const candidate &second)
{
    return first.server == nullptr || second.cost < first.cost ? second : first;
}

} // namespace

load_balancer::load_balancer(const load_balancer_settings &settings)
    : m_settings(settings)
{
}

void load_balancer::setHosts(const std::vector<fleet::host_record> &hosts, core::monotonic_time now)
{
    m_notices.expire(now);
    m_hostCount = hosts.size();
    m_ownHostCount = countOwnHosts(hosts);
    std::map<fleet::instance_name, known_server> next;
    for (const fleet::host_record &host : hosts) {
        for (const fleet::server_record &record : host.servers) {
            known_server server;
            const auto held = m_servers.find(record.instance);
            if (held != m_servers.end()) {
                server = held->second;
            }
            server.server = chosen_server{record.instance,
                                          host.endpoint,
                                          record.version,
                                          host.host,
                                          m_notices.find(record.instance, record.startedAt)};
            const bool isNewStart = server.startedAt != record.startedAt;
            if (server.load && isNewStart) {
                server.load->stated = {};
                server.load->limitPerSecond = 0;
            }
            server.startedAt = record.startedAt;
            server.service = record.service;
            server.dataCentre = host.dataCentre;
            server.slots = std::max(record.slots, 1U);
            server.isDraining
                = record.isDraining || host.isLeaving || server.server.stated.isLeaving;
            const bool wasCold = server.isReportedCold && !isNewStart;
            server.isReportedCold = record.coldFor > std::chrono::milliseconds(0);
            server.coldUntil = now + record.coldFor;
            if (server.isReportedCold && !wasCold) {
                server.coldSince = now;
                server.firstContactAt = now + firstContactDelayOf(server);
            }
            next[record.instance] = std::move(server);
        }
    }
    m_servers = std::move(next);
    m_byService.clear();
    m_listedPeers.clear();
    for (const auto &[instance, server] : m_servers) {
        m_listedPeers.insert(server.server.peer);
        m_byService[server.service].push_back(&server);
    }
}

std::size_t load_balancer::countOwnHosts(const std::vector<fleet::host_record> &hosts) const
{
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(), [this](const fleet::host_record &each) {
            return each.dataCentre == m_settings.ownDataCentre;
        }));
}

void load_balancer::setEvacuated(const std::set<core::data_centre_name> &dataCentres)
{
    m_evacuated = dataCentres;
    // A data centre that is not evacuated in the newer view may have returned.
    m_unavailableDataCentres.clear();
}

void load_balancer::setColdRates(const cold_rates &rates)
{
    m_coldRates = rates;
}

bool load_balancer::isEvacuated(const known_server &server) const
{
    return m_evacuated.contains(server.dataCentre);
}

std::chrono::microseconds load_balancer::firstContactDelayOf(const known_server &server) const
{
    const auto rate = m_coldRates.find(server.service);
    const std::size_t callers = isOwn(server) ? m_ownHostCount : m_hostCount;
    return firstContactDelay(m_settings.ownHost,
                             server.server.instance,
                             callers,
                             rate == m_coldRates.end() ? 0 : rate->second);
}

bool load_balancer::isEligible(const known_server &server,
                               const server_criteria &criteria,
                               core::monotonic_time now) const
{
    const auto unavailable = m_unavailableDataCentres.find(server.dataCentre);
    const bool isUnavailable = now < server.unavailableUntil
        || (unavailable != m_unavailableDataCentres.end() && now < unavailable->second);
    if (server.isDraining || isUnavailable || isEvacuated(server)
        || criteria.tried.contains(server.server.instance)
        || m_unreachable.contains(server.server.peer)) {
        return false;
    }
    return criteria.version.empty() ? !criteria.excludedVersions.contains(server.server.version)
                                    : server.server.version == criteria.version;
}

bool load_balancer::isOwn(const known_server &server) const
{
    return server.dataCentre == m_settings.ownDataCentre;
}

load_balancer::run_times load_balancer::averageRunTimes(const core::service_name &service,
                                                        const core::route_name &route) const
{
    mean all;
    mean ofRoute;
    for (const known_server *server : serversOf(service)) {
        if (!server->load) {
            continue;
        }
        all.add(static_cast<double>(server->load->meanRunTime.count()));
        const auto found = server->routeRunTimes.find(route);
        if (found != server->routeRunTimes.end()) {
            ofRoute.add(static_cast<double>(found->second.count()));
        }
    }
    const auto initial = static_cast<double>(m_settings.initialRunTime.count());
    const double average = all.valueOr(initial);
    return run_times{average, ofRoute.valueOr(0)};
}

load_balancer::run_times load_balancer::runTimesOf(const known_server &server,
                                                   const core::route_name &route,
                                                   const run_times &average) const
{
    const double all
        = server.load ? static_cast<double>(server.load->meanRunTime.count()) : average.all;
    const auto found = server.routeRunTimes.find(route);
    if (found != server.routeRunTimes.end()) {
        return run_times{all, static_cast<double>(found->second.count())};
    }
    return run_times{all, average.route > 0 ? average.route : all};
}

double load_balancer::activeRequestsOf(const known_server &server, core::monotonic_time now) const
{
    const double ownRequests = server.outstanding;
    if (!server.load) {
        return ownRequests;
    }
    const double halfLives = std::chrono::duration<double>(now - server.loadAt)
        / std::chrono::duration<double>(m_settings.loadHalfLife);
    const double reported
        = static_cast<double>(server.load->running + server.load->waiting) * std::exp2(-halfLives);
    return std::max(ownRequests, reported + server.sentSinceReport);
}

double load_balancer::slowdownOf(const known_server &server, core::monotonic_time now) const
{
    if (!server.load) {
        return 1;
    }
    return server_pace::decayed(
        server.load->slowdownPercent / inPercent, now - server.loadAt, m_settings.slowdownHalfLife);
}

double load_balancer::limitWaitOf(const known_server &server, core::monotonic_time now)
{
    if (!server.load) {
        return 0;
    }
    // Nodes of an earlier version send only the limit that the server states.
    const double limit = server.load->limitPerSecond > 0 ? server.load->limitPerSecond
                                                         : server.load->stated.requestsPerSecond;
    if (limit <= 0) {
        return 0;
    }
    using micros = std::chrono::duration<double, std::micro>;
    const double passed = micros(now - server.loadAt).count();
    const double ownSends
        = server.sentSinceReport * micros(std::chrono::seconds(1)).count() / limit;
    return std::max(static_cast<double>(server.load->limitWait.count()) + ownSends - passed, 0.0);
}

double load_balancer::firstContactWaitOf(const known_server &server, core::monotonic_time now)
{
    const bool hasAnswered = server.load && server.loadAt >= server.coldSince;
    if (now >= server.coldUntil || hasAnswered) {
        return 0;
    }
    using micros = std::chrono::duration<double, std::micro>;
    return std::max(micros(server.firstContactAt - now).count(), 0.0);
}

double load_balancer::expectedMicros(const known_server &server,
                                     const run_times &runTimes,
                                     core::monotonic_time now) const
{
    const double slots = server.slots;
    const double active = activeRequestsOf(server, now);
    const double slowness
        = (now < server.coldUntil ? m_settings.coldFactor : 1.0) * slowdownOf(server, now);
    const double utilisation = std::min(active / slots, 1.0);
    // Requests of all routes are ahead in the queue.
    const double wait = active < slots ? 0.0 : (active - slots + 1) * runTimes.all / slots;
    const double runTime
        = runTimes.route * (1 + m_settings.saturationFactor * utilisation * utilisation);
    const double limitWait = std::max(limitWaitOf(server, now), firstContactWaitOf(server, now));
    double expected = std::max(slowness * wait, limitWait) + slowness * runTime;
    if (!isOwn(server)) {
        expected += static_cast<double>(m_settings.crossDataCentreCost.count());
    }
    if (server.load) {
        expected += static_cast<double>(server.load->failuresPerMille) / perMille
            * static_cast<double>(m_settings.failureCost.count());
    }
    return expected;
}

// Returns true if a request stays in the own data centre for a server that is expected to take
// `expectedInOwn` there, while the shortest expected time anywhere is `shortest`.
bool load_balancer::isGoodEnoughInOwn(const server_criteria &criteria,
                                      double expectedInOwn,
                                      double shortest) const
{
    const auto timeToTarget = static_cast<double>(criteria.timeToTarget.count());
    return timeToTarget > 0
        && (expectedInOwn <= m_settings.ownDataCentreFraction * timeToTarget
            || expectedInOwn <= m_settings.ownDataCentreFactor * shortest);
}

std::optional<chosen_server> load_balancer::choose(const server_criteria &criteria,
                                                   core::monotonic_time now,
                                                   core::random_engine &engine)
{
    const run_times average = averageRunTimes(criteria.service, criteria.route);
    std::uniform_real_distribution<double> jitter(1 - m_settings.jitterFraction,
                                                  1 + m_settings.jitterFraction);
    candidate best;
    candidate bestOwn;
    double shortest = std::numeric_limits<double>::infinity();
    std::size_t eligible = 0;
    std::size_t eligibleOwn = 0;
    for (const known_server *each : serversOf(criteria.service)) {
        const known_server &server = *each;
        if (!isEligible(server, criteria, now)) {
            continue;
        }
        ++eligible;
        const double expected
            = expectedMicros(server, runTimesOf(server, criteria.route, average), now);
        const candidate considered{&server.server, expected, expected * jitter(engine)};
        best = cheaperOf(best, considered);
        shortest = std::min(shortest, expected);
        if (isOwn(server)) {
            ++eligibleOwn;
            bestOwn = cheaperOf(bestOwn, considered);
        }
    }
    if (best.server == nullptr) {
        return std::nullopt;
    }
    const bool mayLeave
        = bestOwn.server == nullptr || m_remoteAdmission.isLikely(criteria.service, now, engine);
    const bool staysInOwn = bestOwn.server != nullptr
        && (!mayLeave || isGoodEnoughInOwn(criteria, bestOwn.expected, shortest));
    chosen_server chosen = staysInOwn ? *bestOwn.server : *best.server;
    chosen.isOnlyCandidate = (mayLeave ? eligible : eligibleOwn) == 1;
    return chosen;
}

void load_balancer::sent(const fleet::instance_name &instance)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end()) {
        ++found->second.outstanding;
        ++found->second.sentSinceReport;
    }
}

void load_balancer::ended(const fleet::instance_name &instance,
                          const core::route_name &route,
                          const server_load &load,
                          core::monotonic_time now)
{
    // An answer without slots comes from a node that does not know the server.
    if (load.slots > 0) {
        m_notices.record(instance, load.stated, now);
    }
    const auto found = m_servers.find(instance);
    if (found == m_servers.end()) {
        return;
    }
    known_server &server = found->second;
    server.outstanding -= std::min(server.outstanding, 1U);
    if (load.slots == 0) {
        return;
    }
    server.server.stated = m_notices.find(instance, server.startedAt);
    server.isDraining = server.isDraining || server.server.stated.isLeaving;
    server.load = load;
    server.loadAt = now;
    if (load.routeRunTime.count() > 0) {
        server.routeRunTimes[route] = load.routeRunTime;
    }
    server.sentSinceReport = 0;
}

void load_balancer::lost(const fleet::instance_name &instance)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end()) {
        found->second.outstanding -= std::min(found->second.outstanding, 1U);
    }
}

void load_balancer::recordAdmission(const fleet::instance_name &instance,
                                    bool isAdmitted,
                                    core::monotonic_time now)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end() && !isOwn(found->second)) {
        m_remoteAdmission.record(found->second.service, isAdmitted, now);
    }
}

void load_balancer::markUnavailable(const fleet::instance_name &instance, core::monotonic_time now)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end()) {
        found->second.unavailableUntil = now + m_settings.unavailablePeriod;
    }
}

void load_balancer::markDataCentreUnavailable(const fleet::instance_name &instance,
                                              core::monotonic_time now)
{
    const auto found = m_servers.find(instance);
    if (found != m_servers.end()) {
        m_unavailableDataCentres[found->second.dataCentre] = now + m_settings.unavailablePeriod;
    }
}

void load_balancer::setReachable(const core::endpoint &peer, bool isReachable)
{
    if (isReachable) {
        m_unreachable.erase(peer);
    } else {
        m_unreachable.insert(peer);
    }
}

bool load_balancer::isReachable(const core::endpoint &peer) const
{
    return !m_unreachable.contains(peer);
}

std::chrono::microseconds load_balancer::meanRunTimeOf(const fleet::instance_name &instance) const
{
    const auto found = m_servers.find(instance);
    const bool isKnown = found != m_servers.end() && found->second.load.has_value();
    return isKnown ? found->second.load->meanRunTime : std::chrono::microseconds(0);
}

bool load_balancer::hasVersion(const core::service_name &service,
                               const core::version_name &version) const
{
    const std::vector<const known_server *> &servers = serversOf(service);
    return std::any_of(servers.begin(), servers.end(), [&](const known_server *each) {
        return each->server.version == version && !each->isDraining && !isEvacuated(*each);
    });
}

const std::vector<const load_balancer::known_server *> &
load_balancer::serversOf(const core::service_name &service) const
{
    static const std::vector<const known_server *> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

std::size_t load_balancer::hostCount() const
{
    return m_hostCount;
}

bool load_balancer::isListed(const core::endpoint &peer) const
{
    return m_listedPeers.contains(peer);
}

} // namespace jackdawweir::forwarding
