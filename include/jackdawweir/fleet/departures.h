// Records which backend servers have departed, so that a delayed announcement cannot make them
// receive new requests again. A server is identified by its name and start time: a restarted server
// is a different one. A node keeps the departures of its host, and sources keep a copy from which
// the node restores them after a restart.
//
//     departures table(settings);
//     table.add(departure, now);
//     if (table.departedAt(instance, startedAt)) { ... }
//     table.expire(now);

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/fleet/records.h"

namespace jackdawweir::fleet {

struct departure_settings {
    // Longer than a departing server keeps running and than its announcements can be delayed.
    std::chrono::milliseconds retention{60'000};
};

class departures
{
public:
    explicit departures(const departure_settings &settings = {});

    // Returns true if this records a departure that was unknown.
    bool add(const departure &added, core::monotonic_time now);
    bool add(const std::vector<departure> &added, core::monotonic_time now);

    // Returns the recorded departure of the server, or nothing if there is none.
    std::optional<departure> find(const instance_name &instance, core::monotonic_time now) const;

    // Returns when the server that started at `startedAt` departed, or nothing if it has not.
    std::optional<core::monotonic_time> departedAt(const instance_name &instance,
                                                   std::chrono::milliseconds startedAt) const;

    void expire(core::monotonic_time now);
    bool isEmpty() const;
    std::vector<departure> list(core::monotonic_time now) const;

private:
    struct recorded_departure {
        std::chrono::milliseconds startedUpTo{0};
        core::monotonic_time departedAt;
    };

    static departure describe(const instance_name &instance,
                              const recorded_departure &recorded,
                              core::monotonic_time now);

    departure_settings m_settings;
    std::map<instance_name, recorded_departure> m_departures;
};

} // namespace jackdawweir::fleet
