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

    // Removes a server whose lease ended. Returns the service it belonged to, or nothing.
    std::optional<core::service_name> remove(const core::endpoint &address);

    // Remembers that a start departed, and removes it. Returns the service if it was present.
    std::optional<core::service_name> depart(const departed_server &departed);

    // The digest of the servers of these services, or of all with nullptr. Equal tables have equal
    // digests whatever the order in which they were filled.
    core::digest digestOf(const std::set<core::service_name> *services) const;

    const std::map<core::endpoint, backend_server> &servers() const;
    std::vector<departed_server> departed() const;

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

    const std::map<core::data_centre_name, server_table> &tables() const;

    // Returns when the data centre was last heard from, or nothing if never.
    std::optional<core::monotonic_time> heardAt(const core::data_centre_name &dataCentre) const;

    // Digests are compared for these services only; nullptr compares all.
    void setServices(std::optional<std::set<core::service_name>> services);

    // The addresses that changed since the last call, by data centre.
    std::map<core::data_centre_name, std::set<core::endpoint>> takeChanged();

private:
    // Entries carry the view version they came with, so that messages that cross cannot undo a
    // later one.
    struct followed {
        server_table table;
        std::uint64_t relayIncarnation = 0;
        std::uint64_t snapshotVersion = 0;
        std::map<core::endpoint, std::uint64_t> entryVersions;
        core::monotonic_time heardAt;
        std::optional<core::monotonic_time> requestedAt;
    };

    effects take(const view_summary &received, core::monotonic_time now);
    effects take(const view_snapshot &received, core::monotonic_time now);
    effects take(const view_changes &received, core::monotonic_time now);
    const core::endpoint &current() const;

    std::vector<core::endpoint> m_relays;
    core::host_name m_host;
    std::uint64_t m_session;
    std::size_t m_current = 0;
    std::optional<std::set<core::service_name>> m_services;
    std::map<core::data_centre_name, followed> m_followed;
    std::map<core::data_centre_name, std::set<core::endpoint>> m_changed;
    std::optional<core::monotonic_time> m_usedSince;
    core::monotonic_time m_answeredAt;
    core::monotonic_time m_nextPoll;
};

} // namespace jackdawweir::membership
