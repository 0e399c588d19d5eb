// Decides on a node whether a request of a workspace is within the quota that the workspace has on
// all nodes together. A deterministic state machine: its owner passes in requests, notices of a
// source and the time.
//
//     node_quota quotas(settings);
//     quotas.setWorkspaces(policy.workspaces, now);
//     if (const auto retryAfter = quotas.tryAdmit(workspace, now)) { /* refuse with 429 */ }
//     quotas.release(workspace, now);     // the request did not run
//     send(source, quotas.takeReport());  // at nextReportAt()
//     quotas.handle(notice, now);
//
// In touch with a source, the node admits all requests of a workspace, or the share that the source
// states. The shares adapt to the demand of all nodes, so a node needs no allowance before it gets
// a request. Out of touch, the node keeps to its own part of the quota: a token bucket whose rate
// and burst are the quota's, times the node's part of the recent demand. Requests in touch are
// counted against the bucket, too, so a node that loses its sources has no second burst.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/policy/model.h"
#include "jackdawweir/quota/messages.h"
#include "jackdawweir/quota/quota_settings.h"

namespace jackdawweir::quota {

// The place of a node among all nodes.
struct node_place {
    // The number of nodes, including those that may be cut off; at least 1.
    std::uint32_t nodes = 1;
    // The number of nodes before this one, in an order that all nodes know.
    std::uint32_t rank = 0;

    friend bool operator==(const node_place &, const node_place &) = default;
};

class node_quota
{
public:
    explicit node_quota(const quota_settings &settings);

    // Replaces the quotas by those of a newer policy. What was counted is kept.
    void setWorkspaces(const std::vector<policy::workspace> &workspaces, core::monotonic_time now);
    void setPlace(const node_place &place);

    // Returns true if the policy has any quota.
    bool hasQuotas() const;

    // Counts a request. Returns nothing if it may be sent to a server, or the time after which its
    // caller should retry.
    std::optional<std::chrono::milliseconds> tryAdmit(const policy::workspace_name &workspace,
                                                      core::monotonic_time now);
    // Gives back the admission of a request that did not run.
    void release(const policy::workspace_name &workspace, core::monotonic_time now);
    // Counts a further run of a request that was admitted, at another server.
    void chargeRepeat(const policy::workspace_name &workspace, core::monotonic_time now);

    core::monotonic_time nextReportAt() const;
    // Returns what was counted since the previous report. Out of touch the counts are dropped: the
    // part of the quota that they use is not part of what the sources give to others.
    usage_report takeReport(core::monotonic_time now);
    void handle(const quota_notice &notice, core::monotonic_time now);
    // Returns true while a source answers the reports, and has counted some of them.
    bool isInTouch(core::monotonic_time now) const;

private:
    struct workspace_state {
        workspace_id id = 0;
        double requestsPerSecond = 0;
        double burst = 0;
        // The shares of requests that were not admitted, less those that were rounded up.
        double credit = 0;
        // The node's own token bucket.
        double tokens = 0;
        core::monotonic_time tokensAt;
        // The bucket was in debt out of touch. It is paid back before the shares of the sources
        // apply, since sources that have restarted do not know of it.
        bool mustRepay = false;
        // Decaying counts of requests: those that this node has reported, and those of all nodes as
        // a source states them.
        double recentOwn = 0;
        double recentAll = 0;
        core::monotonic_time countedSince;
        core::monotonic_time recentAt;
        std::int64_t unreportedAdmitted = 0;
        std::uint64_t unreportedOffered = 0;
    };

    // Returns true while a source answers the reports.
    bool isAnswered(core::monotonic_time now) const;
    workspace_state *find(const policy::workspace_name &workspace);
    void advance(workspace_state &state, core::monotonic_time now) const;
    // Counts admissions apart from those of tryAdmit(); less than zero for one that is given back.
    void
    count(const policy::workspace_name &workspace, std::int64_t admitted, core::monotonic_time now);
    // Returns this node's part of the quota.
    double partOf(const workspace_state &state) const;
    // Returns a number below 1 that spreads over the nodes, so that nodes which each hold a part of
    // a token don't all round it up.
    double phaseOf(const workspace_state &state) const;
    std::optional<std::chrono::milliseconds> admitShare(workspace_state &state, double share) const;
    std::optional<std::chrono::milliseconds> admitAlone(workspace_state &state) const;

    quota_settings m_settings;
    node_place m_place;
    std::unordered_map<workspace_id, workspace_state> m_workspaces;
    // The workspaces that were counted since the previous report; some may stand here twice.
    std::vector<workspace_id> m_changed;
    // What was reported since the last notice. It counts as recent demand of this node once a
    // source has answered, so that the parts of all nodes add up to 1.
    std::vector<workspace_usage> m_unconfirmed;
    // The shares that the last notice states.
    std::map<workspace_id, double> m_shares;
    std::chrono::milliseconds m_reportInterval;
    core::monotonic_time m_reportedAt;
    std::optional<core::monotonic_time> m_noticeAt;
    // The time of the first notice after a silence.
    core::monotonic_time m_answeredSince;
};

} // namespace jackdawweir::quota
