// The backend servers of one data centre with a digest per service, and the follower that copies
// them from a relay.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/digest.h"
#include "jackdawweir/membership/effects.h"
#include "jackdawweir/membership/settings.h"

namespace jackdawweir::membership {

// Backend servers by address. Departed incarnations are never added again.
class server_table
{
public:
    // Adds or updates a server. An older or departed incarnation changes nothing. Returns true if
    // the table changed.
    bool put(const backend_server &server);

    // Removes a server, for example after its lease expired. Its present incarnation can be added
    // again, but no earlier one. Returns true if it was present.
    bool remove(const core::endpoint &address);

    // Records an incarnation as departed and removes it. Returns true if it was present.
    bool markDeparted(const departed_server &departed);

    // Returns the digest of the servers of these services, or of all services for nullptr. Equal
    // tables have equal digests regardless of insertion order.
    core::digest digestOf(const std::set<core::service_name> *services) const;

    const std::map<core::endpoint, backend_server> &servers() const;

    // Returns the departed incarnations of the addresses that have no server now.
    std::vector<departed_server> departed() const;

    // Returns the greatest departed incarnation of the address.
    std::optional<std::uint64_t> departedIncarnation(const core::endpoint &address) const;

private:
    // Adds a server to the digest of its service, or removes it if it is already included.
    void toggleInDigest(const backend_server &server);

    std::map<core::endpoint, backend_server> m_servers;
    std::map<core::endpoint, std::uint64_t> m_departed;
    std::map<core::service_name, core::digest> m_digests;
};

// Follows the views of one relay at a time from a ranked list, and switches to the next relay when
// the current one does not reply. All views come from a single relay because relays can disagree
// for a short time, which would repeatedly add and remove entries.
class view_follower
{
public:
    // `host` is empty for a relay that follows another data centre.
    view_follower(std::vector<core::endpoint> relays, core::host_name host, std::uint64_t session);

    // Polls the current relay, and switches to the next one after viewTimeout without a reply.
    effects tick(core::monotonic_time now);

    // Processes summaries, snapshots and changes of the current relay; other messages are ignored.
    // Returns send_message and directory_changed effects.
    effects handle(const core::endpoint &peer, const message &received, core::monotonic_time now);

    // Returns the copied servers of a data centre, or nullptr if no summary has listed it yet.
    const server_table *tableOf(const core::data_centre_name &dataCentre) const;

    // Returns the data centres listed in the summaries received so far.
    std::vector<core::data_centre_name> dataCentres() const;

    // Returns the latest time at which the copy is known to have matched the state of the data
    // centre, or nothing if there is none.
    std::optional<core::monotonic_time>
    lastConfirmedAt(const core::data_centre_name &dataCentre) const;

    // Returns the nodes that missed a heartbeat, with the time of their last one.
    const std::map<core::host_name, core::monotonic_time> &
    suspectsOf(const core::data_centre_name &dataCentre) const;

    // Restricts the digest comparison to these services; nullopt compares all services.
    void setServices(std::optional<std::set<core::service_name>> services);

    // Returns and clears the addresses that changed since the last call, by data centre.
    std::map<core::data_centre_name, std::set<core::endpoint>> takeChanged();

private:
    // The copy of one data centre. Each entry is stored with the view version it was received with,
    // so that a reordered message cannot overwrite a later one.
    struct copy_record {
        server_table table;
        // The incarnation of the relay that the copy comes from; zero after a switch of relay.
        std::uint64_t relayIncarnation = 0;
        std::uint64_t snapshotVersion = 0;
        std::map<core::endpoint, std::uint64_t> entryVersions;
        std::optional<core::monotonic_time> lastConfirmedAt;
        std::map<core::host_name, core::monotonic_time> suspects;
        // The in-flight snapshot request: when it was sent, the minimum view version and the relay
        // incarnation that the snapshot needs, and the value of lastConfirmedAt once it arrives,
        // taken from the summary that caused the request.
        std::optional<core::monotonic_time> requestedAt;
        std::uint64_t requestedVersion = 0;
        std::uint64_t requestedIncarnation = 0;
        core::monotonic_time requestedConfirmationTime;
    };

    effects handleMessage(const view_summary &received, core::monotonic_time now);
    effects handleMessage(const view_snapshot &received, core::monotonic_time now);
    effects handleMessage(const view_changes &received, core::monotonic_time now);
    void compareDigest(const view_summary &received,
                       const view_digest &state,
                       core::monotonic_time now,
                       effects &wanted);
    static void addSuspects(copy_record &copy, const view_digest &state, core::monotonic_time now);
    void requestSnapshot(const core::data_centre_name &dataCentre,
                         copy_record &copy,
                         core::monotonic_time now,
                         effects &wanted);
    void applySnapshot(copy_record &copy, const view_snapshot &received);
    static bool
    advanceEntryVersion(copy_record &copy, const core::endpoint &address, std::uint64_t version);
    const core::endpoint &currentRelay() const;

    std::vector<core::endpoint> m_relays;
    core::host_name m_host;
    std::uint64_t m_session;
    std::size_t m_currentRelay = 0;
    std::optional<std::set<core::service_name>> m_services;
    std::map<core::data_centre_name, copy_record> m_copies;
    std::map<core::data_centre_name, std::set<core::endpoint>> m_changed;
    bool m_started = false;
    core::monotonic_time m_answeredAt;
    core::monotonic_time m_nextPoll;
};

} // namespace jackdawweir::membership
