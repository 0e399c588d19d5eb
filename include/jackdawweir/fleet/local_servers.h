// The backend servers of a host, as they announce themselves to the host's node.
//
//     local_servers servers(settings);
//     servers.announce(announcement, now);
//     for (const server_record &each : servers.records(now)) { ... }
//
// An announcement may arrive late, after the server has departed or another one has started in its
// place. The start time and the sequence number show which announcement is newer. A departed server
// never takes requests again, even if it was unknown or was removed in the meantime.
//
// A node that has just started does not know which servers have departed from an earlier process of
// it. Until a source has sent all of these departures, an announcement may be a late one of a
// departed server and is held back. Its arrival shows nothing about when it was sent, so a server
// is accepted only with an announcement that it sent after a response of this process.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/fleet/departures.h"
#include "jackdawweir/fleet/records.h"

namespace jackdawweir::fleet {

struct server_announcement {
    server_record server;
    // Increases with each announcement and begins again when the server restarts.
    std::uint64_t sequence = 0;
    // False if the policy in force names no such service.
    bool isServiceKnown = true;
    // True if it arrived at an address that only responses of this process of the node name. The
    // server sent it after the process started, and had not left an earlier one.
    bool wasSentAfterNodeStart = false;
};

// Sent by a server that takes no new requests and exits soon.
struct server_withdrawal {
    instance_name instance;
    // The wall time of the server's start, if the server sends it.
    std::optional<std::chrono::milliseconds> startedAt;
    // The wall time at which the node received the withdrawal.
    std::chrono::milliseconds receivedAt{0};
};

struct local_server_settings {
    // A server that sends no announcement for this long is removed. Announcements may be seconds
    // late, and a server that has exited is detected long before by its refused connections.
    std::chrono::milliseconds expireAfter{10'000};
    // Once the known server has sent no announcement for this long, one that is outdated or
    // contradicts it is accepted: the server started after the clock was set back, or the known
    // announcement was not its own.
    std::chrono::milliseconds supersedeAfter{4'000};
    // An announcement that arrives later than this after the start of the node was sent after it.
    // Departures are kept for as long, so none of them is forgotten sooner.
    std::chrono::milliseconds maxAnnouncementDelay = departure_settings().retention;
};

enum class announcement_verdict : std::uint8_t {
    Changed, // The records have changed.
    Refreshed,
    Outdated, // Older than the known announcement; nothing changed.
    Contradictory, // Incompatible with the known announcement; nothing changed.
    HeldBack, // The server may have departed from an earlier process of the node.
};

class local_servers
{
public:
    explicit local_servers(const local_server_settings &settings = {});

    // Records the start of a node whose earlier process may have recorded departures.
    void awaitDepartures(core::monotonic_time now);

    // Returns true if departures of earlier processes may be unknown and an announcement that
    // arrives now may have been sent before the start.
    bool isAwaitingDepartures(core::monotonic_time now) const;

    // Records that all departures of earlier processes have been restored. Returns the latest
    // announcement of each server that was held back, without those of servers that have been
    // silent since.
    std::vector<server_announcement> departuresRestored(core::monotonic_time now);

    announcement_verdict announce(const server_announcement &announcement,
                                  core::monotonic_time now);

    // Records that a server has departed. Returns false if this drains no known server: the server
    // is unknown, or a later start of it is known.
    bool withdraw(const server_withdrawal &withdrawal, core::monotonic_time now);

    // Returns the departures that are recorded in this process: all of them, or that of one server.
    std::vector<departure> departed(core::monotonic_time now) const;
    std::optional<departure> departureOf(const instance_name &instance,
                                         core::monotonic_time now) const;

    // Adds departures that an earlier process of this node recorded. Returns true if the records
    // changed.
    bool restore(const std::vector<departure> &departedServers, core::monotonic_time now);

    // Removes servers that no longer announce themselves. Returns true if the records changed.
    bool expire(core::monotonic_time now);

    // Returns the servers that take requests or finish their last ones, each with the remaining
    // cold time.
    std::vector<server_record> records(core::monotonic_time now) const;

    // Returns true if the server is known and not draining.
    bool takesRequests(const instance_name &instance) const;

    // Returns when the server began to drain, or nothing if it is not draining.
    std::optional<core::monotonic_time> drainingSince(const instance_name &instance) const;

private:
    struct held_back_server {
        server_announcement latest;
        core::monotonic_time latestAt;
    };

    struct known_server {
        server_announcement last;
        core::monotonic_time announcedAt;
        std::optional<core::monotonic_time> drainingSince;
    };

    // Returns true if the announcement names another service, version or address than the same
    // start did, or a service that does not exist at the address of a known server. Some other
    // program sent it.
    bool isContradictory(const server_announcement &announcement, core::monotonic_time now) const;
    bool isOutdated(const server_announcement &announcement, core::monotonic_time now) const;
    // Returns true if the known server may still announce itself.
    bool isCurrent(const known_server &known, core::monotonic_time now) const;
    // Returns true if the announcement may be a late one of a server that has departed from an
    // earlier process of the node.
    bool isDoubtful(const server_announcement &announcement, core::monotonic_time now) const;
    // Returns true if this process has accepted the same start of the server before.
    bool isKnownStart(const server_announcement &announcement) const;
    void holdBack(const server_announcement &announcement, core::monotonic_time now);
    void expireHeldBack(core::monotonic_time now);
    bool startedBefore(const server_announcement &announcement,
                       const known_server &known,
                       core::monotonic_time now) const;
    announcement_verdict handleOutdated(const server_announcement &announcement,
                                        core::monotonic_time now);
    // Marks the server as draining if it has departed. Returns true if it was not draining before.
    bool drainIfDeparted(known_server &known) const;

    local_server_settings m_settings;
    std::map<instance_name, known_server> m_servers;
    departures m_departures;
    // When the node started; absent once all departures are known.
    std::optional<core::monotonic_time> m_departuresAwaitedSince;
    // Servers with announcements that may be late ones of a departed server.
    std::map<instance_name, held_back_server> m_heldBack;
};

} // namespace jackdawweir::fleet
