// What all parts of a mesh process share: its event loop, clocks, settings, metrics and log.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "jackdawweir/agreement/replicated_log.h"
#include "jackdawweir/core/call_numbers.h"
#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/hybrid_time.h"
#include "jackdawweir/core/memory_budget.h"
#include "jackdawweir/http/caller_guard.h"
#include "jackdawweir/http/listener.h"
#include "jackdawweir/mesh/metrics.h"
#include "jackdawweir/mesh/settings.h"
#include "jackdawweir/observe/event.h"
#include "jackdawweir/observe/log_rate_limiter.h"
#include "jackdawweir/transport/mesh_transport.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::mesh {

struct process_context {
    explicit process_context(mesh_settings initialSettings);

    // A single thread runs everything, since a mesh process gets only part of one core of its host.
    boost::asio::io_context loop{1};
    mesh_settings settings;
    core::system_clock_source clock;
    core::hybrid_clock hybridClock;
    metrics processMetrics;
    // The memory for everything that is held for callers, and what keeps them within it. A changed
    // limit takes effect at the next start.
    std::shared_ptr<core::memory_budget> memory;
    http::caller_guard callerGuard;
    // The number of the policy in force here, which every line of the log names; 0 before the
    // first.
    std::uint64_t policyInForce = 0;
    // Wall time in microseconds at the start of the process.
    std::uint64_t incarnation = 0;
    core::random_engine engine{std::random_device()()};
    // The numbers of the calls that this process sends to others.
    core::call_numbers callNumbers{engine};

    // The wall time of the start.
    core::wall_time startedAt() const
    {
        return core::wall_time(std::chrono::duration_cast<core::wall_time::duration>(
            std::chrono::microseconds(incarnation)));
    }

    core::monotonic_time now() const
    {
        return clock.monotonicNow();
    }

    // Returns the settings of a listener whose callers share the memory of this process.
    http::listener_settings listenerSettings(std::size_t maxConnections);

    // Counts a caller that was refused or disconnected, and logs it within the bound on lines.
    void recordShedCaller(const http::shed_caller &shed);
    observe::log_rate_limiter shedLimiter{1, 5};

    // Returns a builder for an event of this host.
    observe::event_builder event(std::string name);
    void record(const observe::event &loggedEvent);
    void recordError(std::string name, const core::error &failure);
    void recordLogEvent(const agreement::log_event &logged);

    // How often the byte counts and the numbers of suppressed log lines are logged.
    static constexpr std::chrono::milliseconds counterLogInterval{10'000};

    // Logs the bytes that the links of this process have carried, by purpose.
    void recordTraffic(const transport::mesh_transport &links);

    // Counts a link that has closed, and logs it where it had been connected.
    void recordLostLink(const transport::lost_link &lost);

    // Decodes the message in a frame. Logs an error and returns nothing where it cannot be decoded.
    template<typename Message>
    std::optional<Message> decode(const transport::received_message &received)
    {
        core::result<Message> decoded = wire::decode<Message>(received.payload, received.from);
        if (const core::error *failure = core::errorIn(decoded)) {
            recordError("message-refused", *failure);
            return std::nullopt;
        }
        return core::valueIn(std::move(decoded));
    }

    // Calls a function periodically; each call starts one interval or more after the previous one
    // has returned.
    void runEvery(std::chrono::milliseconds interval, std::function<void()> function);
};

} // namespace jackdawweir::mesh
