// A mesh source: keeps the replicated policy and its rollouts, the directory of hosts, and tells
// the nodes of both.
//
//     source own(process);
//     core::status started = own.start();
//     own.order(command, [](const std::optional<policy::command_result> &result) { ... });
//     own.read([](const std::optional<policy::policy_view> &view) { ... });

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jackdawweir/agreement/replicated_log.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/fleet/host_directory.h"
#include "jackdawweir/fleet/messages.h"
#include "jackdawweir/mesh/process.h"
#include "jackdawweir/mesh/rollout_driver.h"
#include "jackdawweir/policy/policy_state.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::mesh {

// Nothing where the outcome is not known; the same order may be sent again.
using order_handler = std::function<void(const std::optional<policy::command_result> &)>;

// Nothing where this source cannot be sure which view is the newest.
using view_handler = std::function<void(const std::optional<policy::policy_view> &)>;

class source
{
public:
    explicit source(process &shared);
    source(const source &) = delete;
    source &operator=(const source &) = delete;
    ~source() = default;

    // Errors: Unavailable where the mesh address is taken or the data folder cannot be used.
    core::status start();

    // Carries out an operator's order here or at the source that leads.
    void order(const policy::command &wanted, order_handler done);

    // Reads the newest view here or at the source that leads.
    void read(view_handler done);

    core::wall_time wallNow() const;

    // Brings the gauges of the process up to date.
    void measure();

    // Takes changed settings into force: the sources.
    void applySettings();

private:
    struct subscriber {
        core::monotonic_time heardAt;
        std::uint64_t toldRevision = 0;
        std::uint64_t toldNumber = 0;
        bool wantsDirectory = false;
    };

    struct known_source {
        core::monotonic_time heardAt;
        bool isConfigured = false;
    };

    template<typename Handler>
    struct waiting_call {
        Handler done;
        core::monotonic_time deadline;
    };

    // By the number of the call.
    template<typename Handler>
    using waiting_calls = std::map<std::uint64_t, waiting_call<Handler>>;

    agreement::replicated_log_settings logSettings() const;
    agreement::replicated_log_hooks logHooks();
    void dispatch(const transport::received_message &received);
    void take(const core::endpoint &peer, const fleet::host_report &reported);
    void take(const core::endpoint &peer, const fleet::source_hello &hello);
    void take(const core::endpoint &peer, const fleet::order_request &asked);
    void take(const core::endpoint &peer, const fleet::order_reply &answer);
    void take(const core::endpoint &peer, const fleet::view_request &asked);
    void take(const core::endpoint &peer, const fleet::view_reply &answer);
    void take(const core::endpoint &peer, const fleet::source_update &update);
    void send(const core::endpoint &peer, const fleet::message &sent);

    void apply(const agreement::entry &committed);
    // `encoded` is a policy::command as the log holds it: encoded, then compressed.
    void decideHere(std::string encoded, order_handler done);
    void readHere(view_handler done);
    template<typename Handler>
    Handler timed(waiting_calls<Handler> &waiting, Handler done);
    template<typename Handler, typename MakeCall>
    void askLeader(waiting_calls<Handler> &waiting, Handler done, const MakeCall &makeCall);
    // The newest revision, without the view and the directory.
    fleet::source_update revisionUpdate() const;
    void
    addDirectory(std::uint64_t epoch, std::uint64_t number, fleet::source_update &update) const;
    void addView(std::uint64_t heldRevision, fleet::source_update &update);
    policy::view_change changeFrom(std::uint64_t heldRevision) const;
    void rememberView();
    bool mayAccept() const;
    void establishVersions();
    void pushSoon();
    void push();
    void tick();
    void greetSources();
    void updateSources();
    void failOverdueCalls();
    std::vector<core::endpoint> knownSources() const;

    process &m_process;
    transport::mesh_transport m_transport;
    policy::policy_state m_state;
    policy::command_result m_applied;
    agreement::replicated_log m_log;
    fleet::host_directory m_directory;
    rollout_driver m_rollouts;
    std::map<core::endpoint, subscriber> m_subscribers;
    std::map<core::endpoint, known_source> m_sources;
    std::set<core::service_name> m_establishing;
    std::uint64_t m_lastNumber = 0;
    waiting_calls<order_handler> m_orders;
    waiting_calls<view_handler> m_reads;
    bool m_isPushPosted = false;
    // The latest views as nodes hold them, oldest first, which differences are made from.
    std::deque<policy::policy_view> m_views;
    // Encoded changes to the newest view by the revision that a node holds: every node of the own
    // data centre asks for the same one.
    std::uint64_t m_viewChangesTo = 0;
    std::map<std::uint64_t, std::string> m_viewChanges;
};

} // namespace jackdawweir::mesh
