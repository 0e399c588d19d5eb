// A mesh node: forwards the requests of callers on its host, and runs the requests that nodes send
// to the backend servers of its host.
//
//     node localNode(context, headers);
//     core::status started = localNode.start();
//     localNode.announce(announcement);
//     localNode.beginRequest(request, [](const forwarding::caller_answer &answer) { ... });
//     localNode.beginLeaving();

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "jackdawweir/core/error.h"
#include "jackdawweir/fleet/departure_receipts.h"
#include "jackdawweir/fleet/fleet_view.h"
#include "jackdawweir/fleet/local_servers.h"
#include "jackdawweir/forwarding/dispatcher.h"
#include "jackdawweir/forwarding/server_gateway.h"
#include "jackdawweir/mesh/process_context.h"
#include "jackdawweir/observe/log_rate_limiter.h"
#include "jackdawweir/quota/host_census.h"
#include "jackdawweir/quota/node_quota.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::mesh {

// The address at which a call of a backend server arrived.
enum class server_call_address : std::uint8_t {
    Configured,
    // node::processAddress()
    OfProcess,
};

// The outcome of a backend server's call to the node of its host.
enum class server_call_outcome : std::uint8_t {
    Accepted,
    // The announcement may have been sent by a server that has left since. The server is listed
    // once it announces itself at node::processAddress().
    HeldBack,
    // The server announces that it is draining, but a later start under the same name accepts
    // requests.
    Superseded,
    // The announcement is incompatible with the known one of the same start, or names an unknown
    // service at the address of a known server.
    Contradictory,
    // The departure is in force on this node, but no source has stored it. The server may send the
    // same call again.
    NotStored,
};

using server_call_handler = std::function<void(server_call_outcome)>;

class node
{
public:
    node(process_context &context, const forwarding::header_names &headers);
    node(const node &) = delete;
    node &operator=(const node &) = delete;
    ~node() = default;

    // Errors: Unavailable where the mesh address is in use.
    core::status start();

    // Sets the address at which this process, and no other one, accepts the calls of backend
    // servers. Only responses to announcements that are held back may name it.
    void setProcessAddress(core::endpoint address);
    // Empty if there is none.
    const core::endpoint &processAddress() const;

    // Processes an announcement of a backend server of this host. The handler is called once,
    // possibly before this returns; if the server is draining, only after the departure is stored.
    void announce(fleet::server_announcement announcement, server_call_handler handler);
    // Records that a backend server of this host accepts no new requests and is about to end.
    // `startedAt` identifies the start of the server, where the server sent it. The handler is
    // called once, after the departure is stored.
    void withdraw(const fleet::instance_name &instance,
                  std::optional<std::chrono::milliseconds> startedAt,
                  server_call_handler handler);

    // Logs that a call of a backend server was refused.
    void recordRefusedCall(const char *step, const core::error &failure);

    // Begins to forward a request and returns its number for cancelRequest(). The handler may be
    // called before this returns.
    std::uint64_t beginRequest(forwarding::caller_request request,
                               forwarding::answer_handler handler);
    void cancelRequest(std::uint64_t number);

    // Returns true while the node accepts requests: it has a policy and is not leaving.
    bool isReady() const;
    // The limits of the policy in force.
    const policy::caller_limits &limits() const;
    // Sets a handler that is called whenever another view is in force.
    void onViewChanged(std::function<void()> handler);

    // Reports to all sources that the backend servers of this host accept no more requests.
    void beginLeaving();
    // Refuses all further requests of callers, since the process is about to end.
    void refuseCallers();
    // Takes back the requests that still wait for a server elsewhere, so that their callers are
    // answered before the process ends.
    void recallRequests();
    std::size_t openRequests() const;

    // Sets the gauges of the process to their current values.
    void updateGauges();

    // Applies the settings that may change at run time: the sources and the service of the host.
    void applySettings();

private:
    void dispatch(const transport::received_message &received);
    void handleMessage(const core::endpoint &peer, const fleet::source_update &update);
    void handleMessage(const core::endpoint &peer, const fleet::departure_receipt &receipt);
    void handleMessage(const core::endpoint &peer, const quota::quota_notice &notice);
    void handleMessage(const core::endpoint &peer, forwarding::message received);
    bool send(const core::endpoint &peer, const forwarding::message &outgoing);
    void sendAnswer(const core::endpoint &peer, const forwarding::forward_answer &answer);
    void linkLost(const transport::lost_link &lost);
    void applyViewChange(const core::endpoint &peer, const fleet::source_update &update);
    void requestView();
    void sendReport(const core::endpoint &source, fleet::host_report &report, bool wantsView);
    fleet::host_record ownRecord();
    void updateServers();
    // Returns false if there is a policy and it names no such service.
    bool isServiceKnown(const core::service_name &service) const;
    // Applies an announcement that is not outdated to the servers of the host.
    void applyAnnouncement(const fleet::server_announcement &announcement,
                           fleet::announcement_verdict verdict);
    // Applies the announcements that were held back if the update shows that all departures of
    // earlier processes of this node are known.
    void acceptHeldBackAnnouncements(const core::endpoint &peer,
                                     const fleet::source_update &update);
    // Calls the handler once the departure of the server is stored, or cannot be stored in time.
    void awaitStored(const fleet::instance_name &instance, server_call_handler handler);
    void sendDueNotice();
    void sendReports();
    void scheduleReports();
    void updateHosts();
    // Reports the requests of workspaces to a source, when the next report is due.
    void reportUsage();
    void chooseQuotaSource(core::monotonic_time now);
    // Logs that the sources began or ceased to answer the usage reports.
    void recordQuotaContact(core::monotonic_time now);
    void recordAnswer(const std::string &requestId, const forwarding::caller_answer &answer);
    void recordServed(const core::endpoint &peer,
                      const std::string &requestId,
                      const forwarding::forward_answer &answer);
    void recordReachability(const core::endpoint &peer, forwarding::reachability_change change);
    observe::event_builder announcementEvent(const char *name,
                                             const fleet::server_announcement &announcement);
    void recordRequestToLeavingServer(const forwarding::leaving_request &started);
    // Withdraws a server that states its leave in its responses.
    void handleStatement(const forwarding::stated_change &change);
    void recordStatement(const forwarding::stated_change &change);
    void recordColdChange(const forwarding::cold_change &change);
    // Puts the evacuations and cold rates of the view in force at the servers of this host.
    void updateGatewayPolicy();
    void recordSuppressedLines();

    process_context &m_context;
    core::random_engine m_engine;
    transport::mesh_transport m_transport;
    fleet::fleet_view m_fleet;
    core::endpoint m_processAddress;
    fleet::local_servers m_servers;
    fleet::departure_receipts m_departureReceipts;
    // The calls that the runs of the host's servers make.
    std::shared_ptr<forwarding::call_graph> m_calls = std::make_shared<forwarding::call_graph>();
    forwarding::server_gateway m_gateway;
    forwarding::dispatcher m_dispatcher;
    quota::node_quota m_quota;
    quota::host_census m_census;
    // The source that gets the usage reports, and when it was chosen and last answered.
    core::endpoint m_quotaSource;
    core::monotonic_time m_quotaSourceChosenAt;
    core::monotonic_time m_quotaSourceHeardAt;
    bool m_wasQuotaInTouch = false;
    std::function<void()> m_viewChangedHandler = [] {
    };
    std::uint64_t m_sequence = 0;
    bool m_isLeaving = false;
    bool m_refusesCallers = false;
    bool m_hasRecalled = false;
    bool m_isReportScheduled = false;
    // The time of the pending request for a newer view; absent where none is pending.
    std::optional<core::monotonic_time> m_viewRequestedAt;
    // When the view in force was applied.
    core::monotonic_time m_viewSince;
    core::monotonic_time m_sourcesRequestedAt;
    bool m_isSourceReachable = false;
    // Log rate limits: one for requests answered at the first attempt without an error, one for all
    // other requests.
    observe::log_rate_limiter m_commonRequestLimiter{10, 20};
    observe::log_rate_limiter m_otherRequestLimiter{50, 200};
};

} // namespace jackdawweir::mesh
