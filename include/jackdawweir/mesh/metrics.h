// Counters and latency histograms of one mesh process, in the Prometheus text format.
//
//     metrics processMetrics;
//     processMetrics.countAnswer(answer.outcome, answer.reason, answer.elapsed);
//     const std::string exposition = processMetrics.toText();

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "jackdawweir/core/memory_budget.h"
#include "jackdawweir/forwarding/dispatcher.h"
#include "jackdawweir/forwarding/messages.h"
#include "jackdawweir/forwarding/server_gateway.h"
#include "jackdawweir/forwarding/server_statement.h"
#include "jackdawweir/http/caller_guard.h"

namespace jackdawweir::mesh {

// Not thread-safe: all calls are made on the thread of the process's event loop.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    // Counts a request of a caller that has ended.
    void countAnswer(forwarding::caller_outcome outcome,
                     forwarding::forward_reason reason,
                     std::chrono::nanoseconds elapsed);

    // Counts a request from any node that a backend server of this host has served, or that was
    // refused on this host.
    void countServed(forwarding::forward_outcome outcome, forwarding::forward_reason reason);

    // Counts a request that was sent to a backend server that is leaving.
    void countRequestToLeavingServer();

    // Counts a change in what a backend server of this host states about itself.
    void countStatement(forwarding::statement_event event);

    // Sets the number of backend servers of this host that state a limit, and the sum of their
    // limits.
    void setServerLimits(const forwarding::limit_totals &totals);

    // Sets the number of backend servers of this host that are cold.
    void setColdServers(std::size_t servers);

    // Sets the number of data centres that are evacuated.
    void setEvacuated(std::size_t dataCentres);

    // Sets the number of nodes that get no requests because they do not respond.
    void setUnreachableNodes(std::size_t nodes);

    // Sets the least share that this node admits of the requests whose runs call a full service.
    void setDownstreamShare(double share);

    // Sets the numbers of requests that run at, and that wait for, the backend servers of this
    // host.
    void setLoad(std::uint32_t running, std::uint32_t waiting);

    // Sets the revision of the newest view or state, and the number of the policy in it.
    void setRevision(std::uint64_t revision, std::uint64_t policy);

    // Sets the newest revision that any source has announced to this node, and the time since a
    // source that is in contact with the leader was last heard.
    void setAnnounced(std::uint64_t revision, std::chrono::nanoseconds sourceSilentFor);

    // Sets the number of workspaces of which this source lets the nodes refuse requests.
    void setLimitedWorkspaces(std::size_t workspaces);

    // Sets whether a source answers the usage reports of this node.
    void setQuotaInTouch(bool isInTouch);

    // Counts a link to another process that has closed after it was connected.
    void countLostLink();

    // Counts an attempt to connect to another process that has failed.
    void countFailedConnection();

    // Counts a caller that was refused or disconnected since memory or connections were used up.
    void countShedCaller(http::shed_reason reason);

    // Sets the bytes that are held for callers, by use, and their limit.
    void setHeldMemory(const core::memory_budget &budget);

    // Sets the number of log lines dropped since the process started.
    void setDroppedLogLines(std::uint64_t lines);

    std::string toText() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jackdawweir::mesh
