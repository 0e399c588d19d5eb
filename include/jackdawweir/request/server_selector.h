// Selects the backend server of a request: first the version by the shares of the configuration,
// then the server by data centre, health and spare capacity. A selector is immutable except for the
// counters of its servers. A node builds a new one whenever the configuration, the list of servers
// or the open circuit breakers change, and passes the old one so that the counters carry over.
//
//     auto next = std::make_shared<server_selector>(settings, input, previous.get(), now);
//     core::result<server_claim> claim = next->select(service, now, engine);
//     ...
//     core::valueIn(claim).finish(classify(facts), elapsed, now);

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <absl/container/inlined_vector.h>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/document/configuration.h"
#include "jackdawweir/membership/backend_server.h"
#include "jackdawweir/request/server_health.h"

namespace jackdawweir::request {

struct selector_settings {
    core::data_centre_name ownDataCentre;
    // The number of nodes that may send to the same server; its connections are divided among them.
    std::uint32_t nodeCount = 1;
    // The time after a cold start in which the usable slots of a server rise linearly from a tenth
    // to all.
    std::chrono::nanoseconds slowStart = std::chrono::seconds(10);
    // A server of another data centre is chosen if the local one costs more than this multiple of
    // the other's cost. With one server of a service in each data centre, a slow server would
    // otherwise keep all callers of its data centre.
    double localityFactor = 2.0;
    // If no server has a free slot, a server gets requests until its load, by its own report,
    // reaches this multiple of its slots; the excess waits in its queue. Indexed by urgency from
    // low to high, so that the last places of the queue are left to the most urgent requests.
    std::array<double, 3> queueFactors{2.2, 2.6, 3.0};
    // The counters of a server that is no longer listed are kept for this time, so that the servers
    // of a data centre that returns after a partition do not go through slow start.
    std::chrono::nanoseconds removeAfter = std::chrono::minutes(10);
    health_settings health;
};

// A service and version whose circuit breaker is open.
using excluded_version = std::pair<core::service_name, core::version_name>;

struct selector_input {
    const document::configuration &activeConfiguration;
    const std::vector<membership::backend_server> &servers;
    const std::set<excluded_version> &excluded;
};

// A claim of one slot of a selected server. The slot is released when the claim is destroyed.
class server_claim
{
public:
    server_claim(membership::backend_server server,
                 std::shared_ptr<server_health> health,
                 bool isCold,
                 bool isBusy);
    server_claim(server_claim &&other) noexcept;
    server_claim &operator=(server_claim &&other) noexcept;
    server_claim(const server_claim &) = delete;
    server_claim &operator=(const server_claim &) = delete;
    ~server_claim();

    const membership::backend_server &server() const;
    // True if the server was in slow start when it was selected; see attempt_facts::serverIsCold.
    bool isCold() const;
    // True if all slots of the server were in use when it was selected; see
    // attempt_facts::serverIsBusy.
    bool isBusy() const;
    void reportLoad(std::uint32_t reportedLoad, core::monotonic_time now);
    // Releases the slot and records the result in the server's health.
    void finish(const attempt_outcome &attemptResult,
                std::chrono::nanoseconds elapsed,
                core::monotonic_time now);

private:
    membership::backend_server m_server;
    std::shared_ptr<server_health> m_health;
    bool m_isCold;
    bool m_isBusy;
};

class server_selector
{
public:
    server_selector(const server_selector &) = delete;
    server_selector &operator=(const server_selector &) = delete;
    ~server_selector() = default;

    // If `previous` is null, no server goes through slow start, since a node that has just started
    // can't distinguish new servers from others.
    server_selector(const selector_settings &settings,
                    const selector_input &input,
                    const server_selector *previous,
                    core::monotonic_time now);

    // Returns a slot of a server of `service`. The server at `avoided` is used only if no other
    // server of the version is usable. Errors: NotFound if the service has no ready server,
    // ResourceExhausted if no server has a free slot; in both cases nothing was sent.
    core::result<server_claim> select(const core::service_name &service,
                                      core::monotonic_time now,
                                      core::random_engine &engine,
                                      const core::endpoint &avoided = {},
                                      document::request_urgency urgency
                                      = document::request_urgency::High) const;

    // Returns the counters of the server at `address`, or nullptr if there are none.
    std::shared_ptr<server_health> healthOf(const core::endpoint &address) const;

private:
    struct candidate {
        membership::backend_server server;
        std::shared_ptr<server_health> health;
        bool isOwnDataCentre = false;
    };

    struct version_group {
        core::version_name version;
        std::uint32_t basisPoints = 0;
        std::vector<candidate> servers;
    };

    struct service_group {
        std::vector<version_group> versions;
        std::uint32_t serverCount = 0;
        std::uint32_t totalBasisPoints = 0;
        // The version that gets the requests of a version without a free slot. It is never the new
        // version of a running move, whose share is bounded.
        const version_group *overflow = nullptr;
    };

    struct health_entry {
        std::shared_ptr<server_health> health;
        std::uint64_t incarnation = 0;
        core::monotonic_time lastListed;
    };

    struct selection_criteria {
        const core::endpoint &avoided;
        double queueFactor = 1.0;
    };

    using candidate_list = absl::InlinedVector<const candidate *, 16>;

    health_entry healthFor(const membership::backend_server &server,
                           const server_selector *previous,
                           core::monotonic_time now) const;
    void keepUnlisted(const server_selector &previous, core::monotonic_time now);
    void addServers(const selector_input &input);
    void setShares(const selector_input &input, const document::service &service);

    double slotsOf(const candidate &each, core::monotonic_time now) const;
    std::uint32_t limitOf(const candidate &each, core::monotonic_time now) const;
    bool hasFreeSlot(const candidate &each, core::monotonic_time now) const;
    bool isCheaper(const candidate &left,
                   const candidate &right,
                   double factor,
                   core::monotonic_time now) const;
    candidate_list ejectedServers(const service_group &group, core::monotonic_time now) const;
    candidate_list usableServers(const version_group &group,
                                 const candidate_list &ejected,
                                 const core::endpoint &avoided) const;
    const candidate *betterOfTwo(const candidate_list &list,
                                 core::monotonic_time now,
                                 core::random_engine &engine) const;
    const candidate *drawBySpareCapacity(const candidate_list &list,
                                         core::monotonic_time now,
                                         core::random_engine &engine) const;
    const candidate *choose(const candidate_list &usable,
                            const selection_criteria &criteria,
                            core::monotonic_time now,
                            core::random_engine &engine) const;
    std::optional<server_claim> claimServer(const version_group &group,
                                            const candidate_list &ejected,
                                            const selection_criteria &criteria,
                                            core::monotonic_time now,
                                            core::random_engine &engine) const;

    selector_settings m_settings;
    std::unordered_map<core::service_name, service_group> m_services;
    std::unordered_map<core::endpoint, health_entry> m_health;
};

} // namespace jackdawweir::request
