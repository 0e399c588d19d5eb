// A mesh node: carries the requests of callers on its host, and runs those that other nodes send to
// the backend servers of its host.
//
//     node own(process, headers);
//     core::status started = own.start();
//     own.announce(announcement);
//     own.begin(request, [](const forwarding::caller_answer &answer) { ... });
//     own.beginLeaving();

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "jackdawweir/core/error.h"
#include "jackdawweir/fleet/fleet_view.h"
#include "jackdawweir/fleet/local_servers.h"
#include "jackdawweir/forwarding/dispatcher.h"
#include "jackdawweir/forwarding/server_gateway.h"
#include "jackdawweir/mesh/process.h"
#include "jackdawweir/observe/line_budget.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::mesh {

class node
{
public:
    node(process &shared, const forwarding::header_names &headers);
    node(const node &) = delete;
    node &operator=(const node &) = delete;
    ~node() = default;

    // Errors: Unavailable where the mesh address is taken.
    core::status start();

    // Takes in what a backend server of this host says of itself. Returns false where a server says
    // that it leaves and a later start under its name still takes requests.
    bool announce(const fleet::server_announcement &heard);
    void withdraw(const fleet::instance_name &instance,
                  std::optional<std::chrono::milliseconds> startedAt);

    // Logs a call of a backend server that was refused.
    void recordRefusedCall(const char *step, const core::error &failure);

    // The handler may be called before this returns.
    std::uint64_t begin(forwarding::caller_request request, forwarding::answer_handler handler);
    void cancel(std::uint64_t number);

    // Returns true while the node takes requests: it knows a policy and is not leaving.
    bool isReady() const;
    // The revision of the view in force; zero before the first.
    std::uint64_t revision() const;
    // The limits of the policy in force.
    const policy::caller_limits &limits() const;

    // Tells all sources that this host's servers take no requests from here on.
    void beginLeaving();
    // Refuses every further request of callers: the process is about to end.
    void refuseCallers();
    std::size_t openRequests() const;

    // Brings the gauges of the process up to date.
    void measure();

    // Takes changed settings into force: sources and the own service.
    void applySettings();

private:
    void dispatch(const transport::received_message &received);
    void take(const core::endpoint &peer, const fleet::source_update &update);
    void take(const core::endpoint &peer, forwarding::message received);
    bool send(const core::endpoint &peer, const forwarding::message &sent);
    void linkLost(const core::endpoint &peer, bool wasConnected);
    void takeView(const core::endpoint &peer, const fleet::source_update &update);
    void fetchView();
    void reportTo(const core::endpoint &source, fleet::host_report &report, bool wantsView);
    fleet::host_record ownRecord();
    void updateServers();
    void report();
    void reportSoon();
    void updateHosts();
    void recordAnswer(const std::string &requestId, const forwarding::caller_answer &answer);
    void recordServed(const core::endpoint &peer,
                      const std::string &requestId,
                      const forwarding::forward_answer &answer);
    observe::event_builder announcementEvent(const char *name,
                                             const fleet::server_announcement &heard);
    void recordLeaving(const forwarding::leaving_request &started);
    void recordSuppressedLines();

    process &m_process;
    core::random_engine m_engine;
    transport::mesh_transport m_transport;
    fleet::fleet_view m_fleet;
    fleet::local_servers m_servers;
    forwarding::server_gateway m_gateway;
    forwarding::dispatcher m_dispatcher;
    std::uint64_t m_sequence = 0;
    bool m_isLeaving = false;
    bool m_refusesCallers = false;
    bool m_isReportPosted = false;
    // When a source was asked for a newer view that has not come yet.
    std::optional<core::monotonic_time> m_viewAskedAt;
    bool m_hearsSource = false;
    // Lines of requests that were served at once, and of all others.
    observe::line_budget m_commonLines{10, 20};
    observe::line_budget m_otherLines{50, 200};
};

} // namespace jackdawweir::mesh
