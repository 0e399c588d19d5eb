// The objects that all parts of a daemon share: settings, clocks, metrics, log and time line.

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "jackdawweir/agreement/replicated_log.h"
#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/hybrid_time.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/observe/event.h"
#include "jackdawweir/observe/metrics.h"
#include "jackdawweir/observe/timeline.h"
#include "jackdawweir/settings/settings.h"
#include "jackdawweir/wire/frame.h"

namespace jackdawweir::daemon {

struct process_context {
    static constexpr std::size_t timelineCapacity = 4096;

    explicit process_context(settings::daemon_settings daemonSettings);

    settings::daemon_settings settings;
    core::system_clock_source clock;
    core::hybrid_clock hybridClock;
    observe::metrics metrics;
    observe::timeline timeline{timelineCapacity};
    // The wall time of the start in nanoseconds, so that a later start has a greater incarnation.
    std::uint64_t incarnation = 0;

    // Returns a builder for an event of this host.
    observe::event_builder event(std::string name);

    // Logs an event and adds it to the time line. Thread-safe.
    void record(const observe::event &recorded);

    // Converts a log event of the replicated log to an event of this host.
    observe::event eventOf(const agreement::log_event &loggedEvent);

    void recordError(std::string name, const core::error &failure);
};

// Sends a message over the mesh. Must be called on the loop.
using mesh_send = std::function<
    void(const core::endpoint &peer, wire::channel target, const std::string &payload)>;

} // namespace jackdawweir::daemon
