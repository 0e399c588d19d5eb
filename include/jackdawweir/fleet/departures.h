// The starts of backend servers that have left: they take no new requests, whatever they announce
// later. A node keeps those of its host, and sources keep them for the node's next start.
//
//     departures left(settings);
//     left.add(each, now);
//     if (left.since(instance, startedAt)) { ... }
//     left.expire(now);

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/fleet/records.h"

namespace jackdawweir::fleet {

struct departure_settings {
    // Longer than a leaving server lives on and than an announcement of it can be held back.
    std::chrono::milliseconds keepFor{60'000};
};

class departures
{
public:
    explicit departures(const departure_settings &settings = {});

    void add(const departure &left, core::monotonic_time now);
    void add(const std::vector<departure> &left, core::monotonic_time now);

    // Returns when this start left, or nothing where it has not.
    std::optional<core::monotonic_time> since(const instance_name &instance,
                                              std::chrono::milliseconds startedAt) const;

    void expire(core::monotonic_time now);
    bool isEmpty() const;
    std::vector<departure> listed(core::monotonic_time now) const;

private:
    struct held_departure {
        std::chrono::milliseconds startedUpTo{0};
        core::monotonic_time since;
    };

    departure_settings m_settings;
    std::map<instance_name, held_departure> m_held;
};

} // namespace jackdawweir::fleet
