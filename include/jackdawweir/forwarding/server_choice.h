// Chooses the backend server of a request by the time at which a response is expected: the load
// that the node beside each server reported with its last answer, the server's pace, and the
// distance.
//
// Answers the load of servers that differ in speed, turn slow or fail part of their requests: they
// get fewer requests, since their expected time is longer. Servers of the own data centre are taken
// while they are about as good, since bytes between data centres cost more.
//
//     server_choice choice(settings);
//     choice.setHosts(hosts, now);
//     const std::optional<chosen_server> server = choice.choose(wanted, now, engine);
//     choice.sent(server->instance);
//     choice.ended(server->instance, answer.load, now);

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

namespace jackdawweir::forwarding {

struct choice_settings {
    core::host_name ownHost;
    core::data_centre_name ownDataCentre;
    // Assumed for a server that has not answered yet, where no other of its service has either.
    std::chrono::microseconds firstPace{50'000};
    // What a server of another data centre must be better by: the way there and back, and the price
    // of the bytes.
    std::chrono::microseconds distance{30'000};
    // What a server that failed every request would be worse by.
    std::chrono::microseconds failureCost{1'000'000};
    // A server that is slow after its start takes this multiple of its time.
    double coldFactor = 2.0;
    // A full server takes this much longer for each request than an idle one.
    double crowdFactor = 0.3;
    // A reported load loses half of its weight in this time.
    std::chrono::milliseconds loadHalfLife{400};
    // Costs are varied by this part, so that nodes with the same news don't all choose alike.
    double noise = 0.15;
    // A server that was not there is left out for this long; its node's next report comes sooner.
    std::chrono::milliseconds absence{700};
};

struct wanted_server {
    core::service_name service;
    // Empty for any version.
    core::version_name version;
    // Versions that get no requests, where `version` is empty.
    std::set<core::version_name> excludedVersions;
    // Servers that were tried for this request.
    std::set<fleet::instance_name> tried;
};

struct chosen_server {
    fleet::instance_name instance;
    core::endpoint peer;
    core::version_name version;
    core::host_name host;
    // No other server can take the request.
    bool isOnly = false;
};

class server_choice
{
public:
    explicit server_choice(const choice_settings &settings);

    // What was learned of servers that are still listed is kept.
    void setHosts(const std::vector<fleet::host_record> &hosts, core::monotonic_time now);

    std::optional<chosen_server>
    choose(const wanted_server &wanted, core::monotonic_time now, core::random_engine &engine);

    // A request left for the server.
    void sent(const fleet::instance_name &instance);
    // A request ended with an answer of the node beside the server.
    void
    ended(const fleet::instance_name &instance, const server_load &load, core::monotonic_time now);
    // A request ended without news of the server.
    void lost(const fleet::instance_name &instance);
    // The server takes no requests, by the word of the node beside it.
    void setAbsent(const fleet::instance_name &instance, core::monotonic_time now);

    // A node that does not answer gets no requests until it does.
    void setReachable(const core::endpoint &peer, bool isReachable);
    bool isReachable(const core::endpoint &peer) const;

    // The mean time of a request at the server; zero where it is not known.
    std::chrono::microseconds paceOf(const fleet::instance_name &instance) const;

    bool hasVersion(const core::service_name &service, const core::version_name &version) const;
    std::size_t hostCount() const;
    // The nodes beside all listed servers.
    std::set<core::endpoint> peers() const;

private:
    struct known_server {
        chosen_server server;
        core::service_name service;
        core::data_centre_name dataCentre;
        std::uint32_t slots = 1;
        bool isDraining = false;
        core::monotonic_time coldUntil;
        std::optional<server_load> load;
        core::monotonic_time loadAt;
        // Own requests under way, and those among them sent after the load was reported.
        std::uint32_t outstanding = 0;
        std::uint32_t sentSince = 0;
        core::monotonic_time absentUntil;
    };

    bool isEligible(const known_server &server,
                    const wanted_server &wanted,
                    core::monotonic_time now) const;
    double expectedMicros(const known_server &server, double pace, core::monotonic_time now) const;
    double busyOf(const known_server &server, core::monotonic_time now) const;
    double usualPace(const core::service_name &service) const;

    choice_settings m_settings;
    std::map<fleet::instance_name, known_server> m_servers;
    std::set<core::endpoint> m_unreachable;
    std::size_t m_hostCount = 0;
};

} // namespace jackdawweir::forwarding
