// What all parts of a mesh process share: its loop, clocks, settings and log.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "jackdawweir/agreement/replicated_log.h"
#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/hybrid_time.h"
#include "jackdawweir/mesh/metrics.h"
#include "jackdawweir/mesh/settings.h"
#include "jackdawweir/observe/event.h"
#include "jackdawweir/transport/mesh_transport.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::mesh {

struct process {
    explicit process(mesh_settings read);

    // One thread runs everything: the hosts of a mesh give a process a part of one core.
    boost::asio::io_context loop{1};
    mesh_settings settings;
    core::system_clock_source clock;
    core::hybrid_clock hybridClock;
    metrics counted;
    // Wall time in microseconds at the start.
    std::uint64_t incarnation = 0;

    core::monotonic_time now() const
    {
        return clock.monotonicNow();
    }

    // Begins an event of this host.
    observe::event_builder event(std::string name);
    void record(const observe::event &happened);
    void recordError(std::string name, const core::error &failure);
    void recordNotice(const agreement::log_event &noticed);

    // How often the counts of bytes and of lines left out are logged.
    static constexpr std::chrono::milliseconds countsInterval{10'000};

    // Logs the bytes that the links of this process have carried, by purpose.
    void recordTraffic(const transport::mesh_transport &links);

    // Returns the message that a frame holds. Where it holds none, that is logged.
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

    // Calls a function again and again; each call comes after the interval or later.
    void every(std::chrono::milliseconds interval, std::function<void()> function);
};

} // namespace jackdawweir::mesh
