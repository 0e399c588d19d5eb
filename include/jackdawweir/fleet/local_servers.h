// The backend servers that announce themselves to the node of their host.
//
//     local_servers servers(settings);
//     servers.announce(announcement, now);
//     for (const server_record &each : servers.records(now)) { ... }
//
// Announcements may come late, after the server has left or another start has taken its place. The
// start time and the sequence number tell, and a server that has left stays so, known or not.

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
    // Increases with each announcement of one start.
    std::uint64_t sequence = 0;
};

// A server's word that it takes no new requests and ends soon.
struct server_withdrawal {
    instance_name instance;
    // When the server started, where it says so.
    std::optional<std::chrono::milliseconds> startedAt;
    // The wall time at which it was heard.
    std::chrono::milliseconds heardAt{0};
};

struct local_server_settings {
    // A server that is silent for this long is forgotten. Announcements may be seconds late, and a
    // server that ended is found by its refused connections long before.
    std::chrono::milliseconds forgetAfter{10'000};
    // An earlier start time counts as a clock that was set back, not as a late announcement, once
    // the newer start has been silent for this long.
    std::chrono::milliseconds supersedeAfter{4'000};
};

enum class announcement_verdict : std::uint8_t {
    Changed, // The records differ from before.
    Refreshed,
    Outdated, // From before what is known; nothing changed.
};

class local_servers
{
public:
    explicit local_servers(const local_server_settings &settings = {});

    announcement_verdict announce(const server_announcement &heard, core::monotonic_time now);

    // Returns false where no server that announced itself has left by this.
    bool withdraw(const server_withdrawal &heard, core::monotonic_time now);

    // The departures that this process heard of.
    std::vector<departure> departed(core::monotonic_time now) const;

    // Takes in departures that an earlier process of this node heard of. Returns true where the
    // records changed.
    bool restore(const std::vector<departure> &left, core::monotonic_time now);

    // Forgets silent servers. Returns true where the records changed.
    bool expire(core::monotonic_time now);

    // Servers that take requests or finish their last ones, with the cold time that is left.
    std::vector<server_record> records(core::monotonic_time now) const;

    // Returns true where the server is listed and does not drain.
    bool takesRequests(const instance_name &instance) const;

    // Returns when the server began to drain, or nothing where it does not.
    std::optional<core::monotonic_time> drainingSince(const instance_name &instance) const;

private:
    struct known_server {
        server_announcement last;
        core::monotonic_time heardAt;
        std::optional<core::monotonic_time> drainingSince;
    };

    bool isOutdated(const server_announcement &heard, core::monotonic_time now) const;
    bool startedBefore(const server_announcement &heard,
                       const known_server &known,
                       core::monotonic_time now) const;
    announcement_verdict takeOutdated(const server_announcement &heard, core::monotonic_time now);
    // Lets the server drain where its start has left. Returns true where that is news.
    bool drainIfLeft(known_server &known) const;

    local_server_settings m_settings;
    std::map<instance_name, known_server> m_servers;
    departures m_departures;
};

} // namespace jackdawweir::fleet
