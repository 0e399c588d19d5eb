// Keeps the quotas of workspaces on a source: adds up the requests that the nodes of all sources
// have admitted, and states which share of a workspace's requests the nodes admit. A deterministic
// state machine without sockets.
//
//     source_quota quotas(settings);
//     quotas.setWorkspaces(policy.workspaces, now);
//     send(node, quotas.handle(node, report, now));
//     quotas.handle(source, exchange, now);
//     const usage_exchange sums = quotas.takeExchange(now);  // every report interval
//     send(source, quotas.isHeard(source, now) ? sums : withoutUsages(sums));
//
// Each source holds a token bucket for each workspace, from which it takes the admissions of all
// nodes. Nodes admit requests before they are counted, so a bucket may be in debt, which is paid
// back before more is admitted. While some nodes of the mesh report to no source that is heard, the
// bucket is filled at the part of the quota that belongs to the nodes that do, since those on the
// other side of a partition do the same.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/policy/model.h"
#include "jackdawweir/quota/messages.h"
#include "jackdawweir/quota/quota_settings.h"

namespace jackdawweir::quota {

// A workspace began or ceased to be limited.
struct limit_change {
    policy::workspace_name workspace;
    bool isLimited = false;
    // Requests per second that callers send, and that are admitted.
    double offeredPerSecond = 0;
    double admittedPerSecond = 0;
};

class source_quota
{
public:
    explicit source_quota(const quota_settings &settings);

    // Replaces the quotas by those of a newer policy. What was counted is kept.
    void setWorkspaces(const std::vector<policy::workspace> &workspaces, core::monotonic_time now);
    bool hasQuotas() const;

    // Counts the requests of a node and returns the reply. A source that has just started does not
    // reply: it has to hear the other sources and the nodes first, which go on out of touch.
    std::optional<quota_notice>
    handle(const core::endpoint &node, const usage_report &report, core::monotonic_time now);

    // Counts the requests of another source's nodes.
    void
    handle(const core::endpoint &source, const usage_exchange &exchange, core::monotonic_time now);

    // Returns what the nodes of this source have used since the previous exchange, and computes the
    // shares of admission anew. A workspace is left out until what it has used is a relevant part
    // of its quota.
    usage_exchange takeExchange(core::monotonic_time now);
    // Returns true if the other source has recently sent an exchange. A source that is not heard
    // gets the number of nodes only: it keeps to its own part of the quota by itself.
    bool isHeard(const core::endpoint &source, core::monotonic_time now) const;

    // Returns the changes since the previous call.
    std::vector<limit_change> takeChanges();
    std::size_t limitedWorkspaces() const;

private:
    struct workspace_state {
        policy::workspace_name name;
        double requestsPerSecond = 0;
        double burst = 0;
        double tokens = 0;
        // Requests per second that callers send, on the time scale of the admission shares.
        double demand = 0;
        // Requests per second that the nodes which are heard admit, on the same time scale.
        double admitted = 0;
        // A decaying count of requests, on the time scale of the nodes' own parts.
        double recent = 0;
        core::monotonic_time countedSince;
        core::monotonic_time updatedAt;
        workspace_usage unsent;
        core::monotonic_time sentAt;
        bool isLimited = false;
    };

    struct known_node {
        core::monotonic_time heardAt;
        std::uint32_t knownNodes = 0;
    };

    struct known_source {
        core::monotonic_time heardAt;
        std::uint32_t nodes = 0;
    };

    void expirePeers(core::monotonic_time now);
    // Returns the part of all nodes that report to this source or to one that is heard.
    double heardPart() const;
    // Changes the part, with the buckets that belong to it.
    void setHeardPart(double part, core::monotonic_time now);
    void add(const workspace_usage &usage, core::monotonic_time now);
    void advance(workspace_state &state, core::monotonic_time now) const;
    // Returns the share of requests to admit; 1 or more where all are admitted.
    double shareOf(const workspace_state &state) const;
    void updateLimit(workspace_id id, workspace_state &state);
    // Adds the demand of all nodes to a notice, once it has been counted for long enough.
    void addDemand(workspace_id id,
                   const workspace_state &state,
                   core::monotonic_time now,
                   quota_notice &notice) const;
    bool isExchangeDue(const workspace_state &state, core::monotonic_time now) const;
    std::chrono::milliseconds silenceOf(std::chrono::milliseconds interval) const;
    std::chrono::milliseconds nodeInterval() const;

    quota_settings m_settings;
    std::unordered_map<workspace_id, workspace_state> m_workspaces;
    // The time of the first call.
    std::optional<core::monotonic_time> m_startedAt;
    std::map<core::endpoint, known_node> m_nodes;
    std::map<core::endpoint, known_source> m_sources;
    double m_heardPart = 1;
    std::vector<admission_share> m_limited;
    std::vector<limit_change> m_changes;
};

// Returns the exchange for a source that is not heard.
usage_exchange withoutUsages(const usage_exchange &exchange);

} // namespace jackdawweir::quota
