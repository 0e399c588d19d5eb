#include "jackdawweir/mesh/metrics.h"

#include <array>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace jackdawweir::mesh {

namespace {

// Upper bounds of the buckets in seconds, from the shortest call to the longest deadline of the
// workloads.
const prometheus::Histogram::BucketBoundaries
    latencyBounds{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 15};

prometheus::Gauge &
addGauge(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

struct metrics::state {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &answers
        = prometheus::BuildCounter()
              .Name("jackdawweir_mesh_answers_total")
              .Help("Requests of callers by outcome and reason.")
              .Register(registry);
    prometheus::Family<prometheus::Histogram> &latencies
        = prometheus::BuildHistogram()
              .Name("jackdawweir_mesh_answer_seconds")
              .Help("Time from a caller's request to its response, by outcome.")
              .Register(registry);
    prometheus::Family<prometheus::Counter> &served
        = prometheus::BuildCounter()
              .Name("jackdawweir_mesh_served_total")
              .Help("Requests at the backend servers of this host by outcome and reason.")
              .Register(registry);
    prometheus::Counter &requestsToLeaving
        = prometheus::BuildCounter()
              .Name("jackdawweir_mesh_requests_to_leaving_total")
              .Help("Requests sent to backend servers that are leaving.")
              .Register(registry)
              .Add({});
    prometheus::Family<prometheus::Counter> &statements
        = prometheus::BuildCounter()
              .Name("jackdawweir_mesh_server_statements_total")
              .Help("Changes in what backend servers of this host state in their responses.")
              .Register(registry);
    prometheus::Gauge &limitedServers = addGauge(registry,
                                                 "jackdawweir_mesh_limited_servers",
                                                 "Servers of this host that state a limit.");
    prometheus::Gauge &serverLimit
        = addGauge(registry,
                   "jackdawweir_mesh_server_limit_per_second",
                   "Sum of the limits that the servers of this host state.");
    prometheus::Gauge &coldServers = addGauge(registry,
                                              "jackdawweir_mesh_cold_servers",
                                              "Servers of this host that are cold.");
    prometheus::Gauge &evacuated = addGauge(registry,
                                            "jackdawweir_mesh_evacuated_data_centres",
                                            "Data centres that are evacuated.");
    prometheus::Gauge &unreachableNodes
        = addGauge(registry,
                   "jackdawweir_mesh_unreachable_nodes",
                   "Nodes that get no requests of this one because they do not respond.");
    prometheus::Gauge &downstreamShare = addGauge(
        registry,
        "jackdawweir_mesh_downstream_share",
        "Least share of the requests whose runs call a full service that this node admits.");
    prometheus::Gauge &running = addGauge(registry,
                                          "jackdawweir_mesh_running",
                                          "Requests that run at the servers of this host.");
    prometheus::Gauge &waiting = addGauge(registry,
                                          "jackdawweir_mesh_waiting",
                                          "Requests that wait for the servers of this host.");
    prometheus::Gauge &revision
        = addGauge(registry, "jackdawweir_mesh_revision", "Revision of the view in force.");
    prometheus::Gauge &policy
        = addGauge(registry, "jackdawweir_mesh_policy", "Number of the policy in force.");
    prometheus::Gauge &announcedRevision
        = addGauge(registry,
                   "jackdawweir_mesh_announced_revision",
                   "Newest revision that a source has announced to this node.");
    prometheus::Gauge &sourceSilence
        = addGauge(registry,
                   "jackdawweir_mesh_source_silent_seconds",
                   "Time since a source in contact with the leader was last heard.");
    prometheus::Gauge &limitedWorkspaces
        = addGauge(registry,
                   "jackdawweir_mesh_limited_workspaces",
                   "Workspaces of which requests are refused, as this source states.");
    prometheus::Gauge &quotaInTouch
        = addGauge(registry,
                   "jackdawweir_mesh_quota_in_touch",
                   "1 while a source answers the usage reports of this node.");
    prometheus::Counter &lostLinks = prometheus::BuildCounter()
                                         .Name("jackdawweir_mesh_lost_links_total")
                                         .Help("Links to other processes that have closed.")
                                         .Register(registry)
                                         .Add({});
    prometheus::Counter &failedConnections
        = prometheus::BuildCounter()
              .Name("jackdawweir_mesh_failed_connections_total")
              .Help("Attempts to connect to other processes that have failed.")
              .Register(registry)
              .Add({});
    prometheus::Family<prometheus::Counter> &shedCallers
        = prometheus::BuildCounter()
              .Name("jackdawweir_mesh_shed_callers_total")
              .Help("Callers refused or disconnected for lack of memory or connections.")
              .Register(registry);
    prometheus::Family<prometheus::Gauge> &heldBytes
        = prometheus::BuildGauge()
              .Name("jackdawweir_mesh_held_bytes")
              .Help("Bytes that are held for callers, by use.")
              .Register(registry);
    prometheus::Gauge &heldBytesLimit = addGauge(registry,
                                                 "jackdawweir_mesh_held_bytes_limit",
                                                 "Limit of the bytes held for callers.");
    prometheus::Gauge &droppedLines = addGauge(registry,
                                               "jackdawweir_mesh_dropped_log_lines",
                                               "Log lines dropped since the start.");
};

metrics::metrics()
    : m_state(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::countAnswer(forwarding::caller_outcome outcome,
                          forwarding::forward_reason reason,
                          std::chrono::nanoseconds elapsed)
{
    const std::string outcomeName = forwarding::toString(outcome);
    m_state->answers.Add({{"outcome", outcomeName}, {"reason", forwarding::toString(reason)}})
        .Increment();
    m_state->latencies.Add({{"outcome", outcomeName}}, latencyBounds)
        .Observe(std::chrono::duration<double>(elapsed).count());
}

void metrics::countServed(forwarding::forward_outcome outcome, forwarding::forward_reason reason)
{
    m_state->served
        .Add({{"outcome", forwarding::toString(outcome)}, {"reason", forwarding::toString(reason)}})
        .Increment();
}

void metrics::countRequestToLeavingServer()
{
    m_state->requestsToLeaving.Increment();
}

void metrics::countStatement(forwarding::statement_event event)
{
    m_state->statements.Add({{"event", forwarding::toString(event)}}).Increment();
}

void metrics::setServerLimits(const forwarding::limit_totals &totals)
{
    m_state->limitedServers.Set(totals.servers);
    m_state->serverLimit.Set(totals.requestsPerSecond);
}

void metrics::setColdServers(std::size_t servers)
{
    m_state->coldServers.Set(static_cast<double>(servers));
}

void metrics::setEvacuated(std::size_t dataCentres)
{
    m_state->evacuated.Set(static_cast<double>(dataCentres));
}

void metrics::setUnreachableNodes(std::size_t nodes)
{
    m_state->unreachableNodes.Set(static_cast<double>(nodes));
}

void metrics::setDownstreamShare(double share)
{
    m_state->downstreamShare.Set(share);
}

void metrics::setLoad(std::uint32_t running, std::uint32_t waiting)
{
    m_state->running.Set(running);
    m_state->waiting.Set(waiting);
}

void metrics::setRevision(std::uint64_t revision, std::uint64_t policy)
{
    m_state->revision.Set(static_cast<double>(revision));
    m_state->policy.Set(static_cast<double>(policy));
}

void metrics::setAnnounced(std::uint64_t revision, std::chrono::nanoseconds sourceSilentFor)
{
    m_state->announcedRevision.Set(static_cast<double>(revision));
    m_state->sourceSilence.Set(std::chrono::duration<double>(sourceSilentFor).count());
}

void metrics::setLimitedWorkspaces(std::size_t workspaces)
{
    m_state->limitedWorkspaces.Set(static_cast<double>(workspaces));
}

void metrics::setQuotaInTouch(bool isInTouch)
{
    m_state->quotaInTouch.Set(isInTouch ? 1 : 0);
}

void metrics::countLostLink()
{
    m_state->lostLinks.Increment();
}

void metrics::countFailedConnection()
{
    m_state->failedConnections.Increment();
}

void metrics::countShedCaller(http::shed_reason reason)
{
    m_state->shedCallers.Add({{"reason", http::toString(reason)}}).Increment();
}

void metrics::setHeldMemory(const core::memory_budget &budget)
{
    constexpr std::array<std::pair<core::memory_use, const char *>, core::memoryUseCount> uses{
        {{core::memory_use::CallerRequest, "caller-request"},
         {core::memory_use::CallerResponse, "caller-response"},
         {core::memory_use::ServedRequest, "served-request"},
         {core::memory_use::ServerResponse, "server-response"},
         {core::memory_use::LinkFrame, "link-frame"}}};
    for (const auto &[use, name] : uses) {
        m_state->heldBytes.Add({{"use", name}}).Set(static_cast<double>(budget.used(use)));
    }
    m_state->heldBytesLimit.Set(static_cast<double>(budget.limit()));
}

void metrics::setDroppedLogLines(std::uint64_t lines)
{
    m_state->droppedLines.Set(static_cast<double>(lines));
}

std::string metrics::toText() const
{
    return prometheus::TextSerializer().Serialize(m_state->registry.Collect());
}

} // namespace jackdawweir::mesh
