// Chooses the backend server with the lowest expected response time. The estimate takes in the load
// that the node beside each server reported with its last answer, the server's mean run time, its
// failure rate, how slow it states to be at present, the wait for a limit that it states, and the
// cost of leaving the data centre.
//
// Servers that are slower, become slow or fail some of their requests get fewer requests, since
// their expected time is longer. Traffic between data centres costs more, and a response that is
// faster than the request's target has no benefit, so a request leaves the data centre only if no
// server there is expected to answer it well within its target or about as fast as any other.
//
//     load_balancer balancer(settings);
//     balancer.setHosts(hosts, now);
//     const std::optional<chosen_server> server = balancer.choose(criteria, now, engine);
//     balancer.sent(server->instance);
//     balancer.ended(server->instance, answer.load, now);

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/fleet/records.h"
#include "jackdawweir/forwarding/messages.h"
#include "jackdawweir/forwarding/remote_admission.h"
#include "jackdawweir/forwarding/server_notices.h"

namespace jackdawweir::forwarding {

struct load_balancer_settings {
    core::host_name ownHost;
    core::data_centre_name ownDataCentre;
    // The run time assumed for a server until a server of its service has reported its load.
    std::chrono::microseconds initialRunTime{50'000};
    // Added to the expected time of a server in another data centre: the round trip and the cost of
    // the traffic.
    std::chrono::microseconds crossDataCentreCost{30'000};
    // Added to the expected time of a server that fails every request; scaled by the failure rate.
    std::chrono::microseconds failureCost{1'000'000};
    // A request stays in its data centre if a server there is expected to answer within this
    // fraction of the time to its target. The rest is left for a second server and for variation.
    double ownDataCentreFraction = 0.5;
    // It also stays if that server takes at most this multiple of the shortest expected time, since
    // the mean run time of a server says little of a route that is faster than most.
    double ownDataCentreFactor = 1.6;
    // A server that still warms up after its start takes this multiple of its mean run time.
    double coldFactor = 2.0;
    // The relative increase of the run time at a full server, compared with an idle one.
    double saturationFactor = 0.3;
    // A reported load loses half of its weight after this time.
    std::chrono::milliseconds loadHalfLife{400};
    // A reported slowdown loses half of its effect after this time: servers that share their
    // machines turn slow and fast again several times a second.
    std::chrono::milliseconds slowdownHalfLife{300};
    // Expected times are varied at random by up to this fraction, so that nodes with the same
    // reports don't all choose the same server.
    double jitterFraction = 0.15;
    // An unavailable server gets no requests for this long; the next report of its node arrives
    // before that.
    std::chrono::milliseconds unavailablePeriod{700};
};

// The requests per second that a cold server of each service takes; zero for no limit.
using cold_rates = std::map<core::service_name, double>;

struct server_criteria {
    core::service_name service;
    // Empty for any version.
    core::version_name version;
    // Versions that get no requests, where `version` is empty.
    std::set<core::version_name> excludedVersions;
    // Servers to which this request was sent before.
    std::set<fleet::instance_name> tried;
    core::route_name route;
    // The time left to the target of the request; zero to compare the servers of all data centres
    // by their expected times.
    std::chrono::microseconds timeToTarget{0};
};

struct chosen_server {
    fleet::instance_name instance;
    core::endpoint peer;
    core::version_name version;
    core::host_name host;
    // What the server stated in earlier answers.
    server_statement stated;
    // Whether no other server should be tried with the request.
    bool isOnlyCandidate = false;
};

class load_balancer
{
public:
    explicit load_balancer(const load_balancer_settings &settings);
    load_balancer(const load_balancer &) = delete;
    load_balancer &operator=(const load_balancer &) = delete;
    load_balancer(load_balancer &&) = default;
    load_balancer &operator=(load_balancer &&) = default;
    ~load_balancer() = default;

    // Replaces the hosts. The reported load and the counts of servers that are still listed are
    // kept.
    void setHosts(const std::vector<fleet::host_record> &hosts, core::monotonic_time now);

    // Sets the data centres whose servers get no requests.
    void setEvacuated(const std::set<core::data_centre_name> &dataCentres);
    void setColdRates(const cold_rates &rates);

    // Chooses the server with the lowest expected time in the own data centre if that is well
    // within the request's target or the other data centres are likely to refuse the request, and
    // the one with the lowest expected time of all otherwise.
    std::optional<chosen_server>
    choose(const server_criteria &criteria, core::monotonic_time now, core::random_engine &engine);

    // Records that a request was sent to the server.
    void sent(const fleet::instance_name &instance);
    // Records that a request of the route ended with an answer of the node beside the server.
    void ended(const fleet::instance_name &instance,
               const core::route_name &route,
               const server_load &load,
               core::monotonic_time now);
    // Records that a request ended without a report of the server's load.
    void lost(const fleet::instance_name &instance);
    // Records whether the node beside the server admitted a request or refused it for lack of room.
    void recordAdmission(const fleet::instance_name &instance,
                         bool isAdmitted,
                         core::monotonic_time now);
    // Records that the server takes no requests, as the node beside it reported.
    void markUnavailable(const fleet::instance_name &instance, core::monotonic_time now);

    // Records that the data centre of the server takes no requests, as a node there reported.
    void markDataCentreUnavailable(const fleet::instance_name &instance, core::monotonic_time now);

    // An unreachable node gets no requests until it is reachable again.
    void setReachable(const core::endpoint &peer, bool isReachable);
    bool isReachable(const core::endpoint &peer) const;

    // Returns the mean run time of a request at the server, or zero if it is not known.
    std::chrono::microseconds meanRunTimeOf(const fleet::instance_name &instance) const;

    bool hasVersion(const core::service_name &service, const core::version_name &version) const;
    std::size_t hostCount() const;
    // Returns true if the node is beside a listed server.
    bool isListed(const core::endpoint &peer) const;

private:
    struct known_server {
        chosen_server server;
        core::service_name service;
        core::data_centre_name dataCentre;
        std::uint32_t slots = 1;
        bool isDraining = false;
        std::chrono::milliseconds startedAt{0};
        bool isReportedCold = false;
        core::monotonic_time coldUntil;
        // When it became cold, and when this node may first send it a request from then on.
        core::monotonic_time coldSince;
        core::monotonic_time firstContactAt;
        std::optional<server_load> load;
        // The reported mean run times of routes: the routes of a service may differ more in run
        // time than its servers do.
        std::map<core::route_name, std::chrono::microseconds> routeRunTimes;
        core::monotonic_time loadAt;
        // In-flight requests of this node, and those among them sent after the load was reported.
        std::uint32_t outstanding = 0;
        std::uint32_t sentSinceReport = 0;
        core::monotonic_time unavailableUntil;
    };

    // Mean run times in microseconds: of all requests, and of those of one route, which is zero if
    // it is not known.
    struct run_times {
        double all = 0;
        double route = 0;
    };

    bool isEligible(const known_server &server,
                    const server_criteria &criteria,
                    core::monotonic_time now) const;
    double expectedMicros(const known_server &server,
                          const run_times &runTimes,
                          core::monotonic_time now) const;
    run_times runTimesOf(const known_server &server,
                         const core::route_name &route,
                         const run_times &average) const;
    double activeRequestsOf(const known_server &server, core::monotonic_time now) const;
    // Returns how many times as long as usual work is expected to take at the server.
    double slowdownOf(const known_server &server, core::monotonic_time now) const;
    // Returns the microseconds until the limit that the server states permits a further request.
    static double limitWaitOf(const known_server &server, core::monotonic_time now);
    // Returns the microseconds until this node may first send a request to a server that has become
    // cold and has not answered since.
    static double firstContactWaitOf(const known_server &server, core::monotonic_time now);
    // Returns the time after which this node may first send a request to a cold server.
    std::chrono::microseconds firstContactDelayOf(const known_server &server) const;
    bool isEvacuated(const known_server &server) const;
    std::size_t countOwnHosts(const std::vector<fleet::host_record> &hosts) const;
    run_times averageRunTimes(const core::service_name &service,
                              const core::route_name &route) const;
    bool isOwn(const known_server &server) const;
    bool
    isGoodEnoughInOwn(const server_criteria &criteria, double expectedInOwn, double shortest) const;
    // Returns the servers of a service.
    const std::vector<const known_server *> &serversOf(const core::service_name &service) const;

    load_balancer_settings m_settings;
    std::map<fleet::instance_name, known_server> m_servers;
    // The servers of each service, since a request must not look at those of all services.
    std::map<core::service_name, std::vector<const known_server *>> m_byService;
    // The nodes beside the servers.
    std::set<core::endpoint> m_listedPeers;
    std::set<core::endpoint> m_unreachable;
    remote_admission m_remoteAdmission;
    server_notices m_notices;
    std::set<core::data_centre_name> m_evacuated;
    // Until when a data centre gets no requests, by data centre.
    std::map<core::data_centre_name, core::monotonic_time> m_unavailableDataCentres;
    cold_rates m_coldRates;
    std::size_t m_hostCount = 0;
    std::size_t m_ownHostCount = 0;
};

} // namespace jackdawweir::forwarding
