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

    void add(const departure &added, core::monotonic_time now);
    void add(const std::vector<departure> &added, core::monotonic_time now);

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

    departure_settings m_settings;
    std::map<instance_name, recorded_departure> m_departures;
};

} // namespace jackdawweir::fleet
