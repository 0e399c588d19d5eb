// Whether a backend server is cold: it has just started or its caches are empty, and until it is
// warm it takes only few requests.
//
//     cold_state cold;
//     cold.announced(record.coldFor, now);
//     cold.suspect(now);                 // its data centre returns from an evacuation
//     if (cold.isUncertain()) { checkHealth(); }
//
// A server announces how long it stays cold, but may become cold again between two announcements.
// Once there is a reason to suspect this, it counts as cold until it says otherwise: in the
// response to a health check, or in an announcement that it cannot have sent before.

#pragma once

#include <chrono>
#include <optional>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::forwarding {

struct cold_state_settings {
    // An announcement that arrives sooner after the suspicion may have been sent before it.
    std::chrono::milliseconds announcementDelay{1'000};
    // The remaining time that is stated for a server that is suspected: one announcement interval.
    std::chrono::milliseconds suspectedFor{1'500};
};

class cold_state
{
public:
    explicit cold_state(const cold_state_settings &settings = {});

    // Records an announcement by which the server stays cold for this long. The longest statement
    // holds, since an earlier one may arrive after a later one.
    void announced(std::chrono::milliseconds coldFor, core::monotonic_time now);

    // Records that the server may have become cold.
    void suspect(core::monotonic_time now);

    // Records the response to a health check that was sent after the last suspicion.
    void checked(std::chrono::milliseconds coldFor, core::monotonic_time now);

    bool isCold(core::monotonic_time now) const;
    // Returns true if the server was suspected and has not said whether it is cold.
    bool isUncertain() const;
    // Returns the time for which the server is expected to stay cold.
    std::chrono::milliseconds remaining(core::monotonic_time now) const;

private:
    cold_state_settings m_settings;
    core::monotonic_time m_coldUntil;
    std::optional<core::monotonic_time> m_suspectedAt;
};

} // namespace jackdawweir::forwarding
