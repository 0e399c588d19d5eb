// A mesh source: holds the replicated policy with its rollouts and the directory of hosts, and
// distributes both to the nodes.
//
//     source localSource(context);
//     core::status started = localSource.start();
//     localSource.submitCommand(
//         command, [](const std::optional<policy::command_result> &result) { ... });
//     localSource.readView([](const std::optional<policy::policy_view> &view) { ... });

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
#include "jackdawweir/fleet/fleet_view.h"
#include "jackdawweir/fleet/host_directory.h"
#include "jackdawweir/fleet/host_table.h"
#include "jackdawweir/fleet/messages.h"
#include "jackdawweir/mesh/awaited_revisions.h"
#include "jackdawweir/mesh/departure_store.h"
#include "jackdawweir/mesh/pending_calls.h"
#include "jackdawweir/mesh/process_context.h"
#include "jackdawweir/mesh/rollout_driver.h"
#include "jackdawweir/policy/policy_state.h"
#include "jackdawweir/quota/source_quota.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::mesh {

// Called without a result where the outcome is not known; the same command may be sent again.
using command_handler = std::function<void(const std::optional<policy::command_result> &)>;

// Called without a view where this source cannot be sure which view is the newest.
using view_handler = std::function<void(const std::optional<policy::policy_view> &)>;

class source
{
public:
    explicit source(process_context &context);
    source(const source &) = delete;
    source &operator=(const source &) = delete;
    ~source() = default;

    // Errors: Unavailable where the mesh address is in use or the data folder cannot be used.
    core::status start();

    // Executes an operator's command here, if this source is the leader, or at the leader.
    void submitCommand(const policy::command &submitted, command_handler handler);

    // Reads the newest view. If this source is not the leader, the leader confirms the revision,
    // and the view is read here once it has that revision.
    void readView(view_handler handler);

    core::wall_time wallNow() const;

    // Sets the gauges of the process to their current values.
    void updateGauges();

    // Applies the settings that may change at run time: the sources.
    void applySettings();

private:
    // Determines the hosts that a subscriber gets. What was received from a source is never sent to
    // another one of the same kind, so that no two sources keep a host listed for each other.
    enum class subscriber_kind : std::uint8_t {
        Node, // All hosts.
        OwnSource, // A source of this data centre: the hosts that report here.
        OtherSource, // The hosts that report to a source of this data centre.
    };

    // A node that reports to this source, or another source, and what was last sent to it.
    struct subscriber {
        core::monotonic_time lastSeenAt;
        std::uint64_t sentRevision = 0;
        std::uint64_t sentDirectoryNumber = 0;
        bool wantsDirectory = false;
        subscriber_kind kind = subscriber_kind::Node;
    };

    struct known_source {
        core::monotonic_time lastSeenAt;
        bool isConfigured = false;
        core::data_centre_name dataCentre;
        // The time of its last hello; absent if it is known from others only.
        std::optional<core::monotonic_time> heardAt;
        // Whether it says hello, too.
        fleet::reply_watch hellos;
    };

    agreement::replicated_log_settings logSettings() const;
    agreement::replicated_log_hooks logHooks();
    void dispatch(const transport::received_message &received);
    void handleMessage(const core::endpoint &peer, const fleet::host_report &reported);
    void handleMessage(const core::endpoint &peer, const fleet::source_hello &hello);
    void handleMessage(const core::endpoint &peer, const fleet::command_request &request);
    void handleMessage(const core::endpoint &peer, const fleet::command_reply &reply);
    void handleMessage(const core::endpoint &peer, const fleet::view_request &request);
    void handleMessage(const core::endpoint &peer, const fleet::view_reply &reply);
    void handleMessage(const core::endpoint &peer, const fleet::source_update &update);
    void handleMessage(const core::endpoint &peer, const fleet::rollout_evidence &evidence);
    void handleMessage(const core::endpoint &peer, const fleet::departure_notice &notice);
    // Sources send receipts and never get any.
    void handleMessage(const core::endpoint &peer, const fleet::departure_receipt &receipt);
    void handleMessage(const core::endpoint &peer, const quota::usage_report &report);
    void handleMessage(const core::endpoint &peer, const quota::usage_exchange &exchange);
    // Sources send notices and never get any.
    void handleMessage(const core::endpoint &peer, const quota::quota_notice &notice);
    // Sends the requests of workspaces that the nodes have reported to the other sources.
    void exchangeUsage();
    void recordLimitChanges();
    core::status initialiseIfRequired();
    void loadDepartures();
    // Determines from when on this source holds all departures that it has stored for as long as
    // they are kept.
    void loadDepartureCompleteness(bool areDeparturesLoaded);
    bool hasAllDepartures() const;
    // Stores that this source holds all departures, once it does.
    void storeDepartureCompleteness();
    // Stores the departures soon, if some are not stored yet, and then sends the pending receipts.
    void scheduleDepartureStore();
    void storeDepartures();
    void addRollouts(const core::host_name &host,
                     const std::vector<fleet::rollout_report> &reports);
    void passOnRollouts(const core::host_name &host,
                        const std::vector<fleet::rollout_report> &reports);
    void send(const core::endpoint &peer, const fleet::message &outgoing);

    void apply(const agreement::entry &committed);
    // Proposes a command where this source is the leader. `encoded` is a policy::command as the log
    // holds it: encoded, then compressed.
    void proposeCommand(std::string encoded, command_handler handler);
    void readConfirmedView(view_handler handler);
    template<typename Handler>
    Handler withTimeout(pending_calls<Handler> &pending, Handler handler);
    template<typename Handler, typename MakeCall>
    void
    forwardToLeader(pending_calls<Handler> &pending, Handler handler, const MakeCall &makeCall);
    // Returns an update with the newest revision, without the view and the directory.
    fleet::source_update revisionUpdate() const;
    void addDirectory(const subscriber &recipient,
                      std::uint64_t epoch,
                      std::uint64_t number,
                      fleet::source_update &update) const;
    // Returns true if this source leads or has recently heard from the leader.
    bool isCurrent() const;
    // Logs that the contact with the leader was lost or regained since the last call.
    void recordContact();
    // Merges the hosts that report here with those that report to other sources.
    void updateHosts();
    std::uint64_t hostsNumberFor(const subscriber &recipient) const;
    fleet::directory_changes
    hostsFor(const subscriber &recipient, std::uint64_t epoch, std::uint64_t number) const;
    // Returns the sources whose directories this one requests: all others of its data centre, and
    // one of each other data centre.
    std::set<core::endpoint> directorySources() const;
    void addView(std::uint64_t heldRevision, fleet::source_update &update);
    policy::view_change changeFrom(std::uint64_t heldRevision) const;
    void storeView();
    bool canAcceptCommands() const;
    void establishVersions();
    void schedulePush();
    void pushUpdates();
    void tick();
    void sendHellos(bool withSources);
    fleet::source_hello helloFor(const core::endpoint &peer,
                                 const std::set<core::endpoint> &directorySources,
                                 bool withSources) const;
    void updateSources();
    void recordUnmatchedReply(const core::endpoint &peer, const char *step, std::uint64_t number);
    void expireCalls();
    std::vector<core::endpoint> knownSources() const;
    std::vector<fleet::source_record> sourceRecords() const;

    process_context &m_context;
    transport::mesh_transport m_transport;
    policy::policy_state m_state;
    policy::command_result m_lastResult;
    agreement::replicated_log m_log;
    // The hosts that report to this source.
    fleet::host_directory m_directory;
    // The hosts that report to other sources.
    fleet::fleet_view m_remoteHosts;
    // The hosts that report to a source of this data centre, as sources of other data centres get
    // them.
    fleet::host_table m_exportedHosts;
    // All hosts, as nodes get them.
    fleet::host_table m_publishedHosts;
    departure_store m_departureStore;
    // The number of the last departure that is stored; see host_directory::departureNumber().
    std::uint64_t m_storedDepartureNumber = 0;
    bool m_isDepartureStorePosted = false;
    // When this source has held all departures for as long as they are kept.
    core::monotonic_time m_departuresCompleteAt;
    bool m_isCompletenessStored = false;
    // No attempt to store the departures is made before this time, after one that failed.
    core::monotonic_time m_departureStoreRetryAt;
    // The nodes that get a receipt once the departures are stored, with their hosts.
    std::map<core::endpoint, core::host_name> m_pendingReceipts;
    core::monotonic_time m_leaderHeardAt;
    bool m_wasCurrent = false;
    std::uint64_t m_helloCount = 0;
    rollout_driver m_rollouts;
    quota::source_quota m_quota;
    // The revision of the view whose quotas are kept.
    std::uint64_t m_quotaRevision = 0;
    std::map<core::endpoint, subscriber> m_subscribers;
    std::map<core::endpoint, known_source> m_sources;
    std::set<core::service_name> m_establishing;
    pending_calls<command_handler> m_pendingCommands;
    pending_calls<view_handler> m_pendingReads;
    awaited_revisions m_awaitedRevisions;
    bool m_isPushScheduled = false;
    // This source makes itself the first voter once its log is open.
    bool m_mustInitialise = false;
    // The latest views as nodes hold them, oldest first; differences between views are made from
    // these.
    std::deque<policy::policy_view> m_views;
    // Encoded changes to the newest view, by the revision that a node holds. They are cached since
    // all nodes of this data centre request the same change.
    std::uint64_t m_viewChangesRevision = 0;
    std::map<std::uint64_t, std::string> m_viewChanges;
};

} // namespace jackdawweir::mesh
