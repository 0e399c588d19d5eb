// The backend servers of one data centre with a digest by service, and the follower's end of the
// exchange that copies them from a relay.

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

// Backend servers by address. Starts that departed never come back.
class server_table
{
public:
    // Takes a server. An older or departed start changes nothing. Returns true if this changed the
    // table.
    bool put(const backend_server &server);

    // Removes a server whose lease ended; its present start may come back, but no earlier one.
    // Returns true if it was present.
    bool remove(const core::endpoint &address);

    // Remembers that a start departed, and removes it. Returns true if it was present.
    bool depart(const departed_server &departed);

    // The digest of the servers of these services, or of all with nullptr. Equal tables have equal
    // digests whatever the order in which they were filled.
    core::digest digestOf(const std::set<core::service_name> *services) const;

    const std::map<core::endpoint, backend_server> &servers() const;

    // Returns the departed starts of the addresses that have no server now.
    std::vector<departed_server> departed() const;

    // Returns the latest start of the address that does not come back.
    std::optional<std::uint64_t> departedOf(const core::endpoint &address) const;

private:
    void flip(const backend_server &server);

    std::map<core::endpoint, backend_server> m_servers;
    std::map<core::endpoint, std::uint64_t> m_departed;
    std::map<core::service_name, core::digest> m_digests;
};

// Follows the views of one relay at a time, chosen from a ranked list; the next one is used when
// the current one is silent. A view is always taken from one relay, so that relays that disagree
// for a moment do not make entries come and go.
class view_follower
{
public:
    // `host` is empty for a relay that follows another data centre.
    view_follower(std::vector<core::endpoint> relays, core::host_name host, std::uint64_t session);

    // Polls, and changes to the next relay after viewTimeout.
    effects tick(core::monotonic_time now);

    // Takes summaries, snapshots and changes of the current relay; other messages are ignored.
    // Effects are messages to send and directory_changed.
    effects handle(const core::endpoint &peer, const message &received, core::monotonic_time now);

    // Returns the copy of a data centre, or nullptr before the first.
    const server_table *tableOf(const core::data_centre_name &dataCentre) const;

    // Returns the data centres that the relay told of.
    std::vector<core::data_centre_name> dataCentres() const;

    // Returns when the copy was last known to equal what the data centre held, or nothing if never.
    std::optional<core::monotonic_time> heardAt(const core::data_centre_name &dataCentre) const;

    // Returns when nodes that missed a heartbeat were last heard from.
    const std::map<core::host_name, core::monotonic_time> &
    suspectsOf(const core::data_centre_name &dataCentre) const;

    // Digests are compared for these services only; nullptr compares all.
    void setServices(std::optional<std::set<core::service_name>> services);

    // The addresses that changed since the last call, by data centre.
    std::map<core::data_centre_name, std::set<core::endpoint>> takeChanged();

private:
    // Entries carry the view version they came with, so that messages that cross cannot undo a
    // later one.
    struct copy_record {
        server_table table;
        // The relay process the copy was taken from; zero after a change of relay.
        std::uint64_t relayIncarnation = 0;
        std::uint64_t snapshotVersion = 0;
        std::map<core::endpoint, std::uint64_t> entryVersions;
        std::optional<core::monotonic_time> heardAt;
        std::map<core::host_name, core::monotonic_time> suspects;
        // A request for a snapshot in flight, the least version that answers it, and when the relay
        // heard from the data centre as of the summary that led to it.
        std::optional<core::monotonic_time> requestedAt;
        std::uint64_t requestedVersion = 0;
        std::uint64_t requestedIncarnation = 0;
        core::monotonic_time requestedHeardAt;
    };

    effects take(const view_summary &received, core::monotonic_time now);
    effects take(const view_snapshot &received, core::monotonic_time now);
    effects take(const view_changes &received, core::monotonic_time now);
    void compare(const view_summary &received,
                 const view_digest &state,
                 core::monotonic_time now,
                 effects &wanted);
    static void addSuspects(copy_record &copy, const view_digest &state, core::monotonic_time now);
    void request(const core::data_centre_name &dataCentre,
                 copy_record &copy,
                 core::monotonic_time now,
                 effects &wanted);
    void replace(copy_record &copy, const view_snapshot &received);
    static bool advance(copy_record &copy, const core::endpoint &address, std::uint64_t version);
    const core::endpoint &current() const;

    std::vector<core::endpoint> m_relays;
    core::host_name m_host;
    std::uint64_t m_session;
    std::size_t m_current = 0;
    std::optional<std::set<core::service_name>> m_services;
    std::map<core::data_centre_name, copy_record> m_copies;
    std::map<core::data_centre_name, std::set<core::endpoint>> m_changed;
    bool m_started = false;
    core::monotonic_time m_answeredAt;
    core::monotonic_time m_nextPoll;
};

} // namespace jackdawweir::membership
