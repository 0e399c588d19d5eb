// How long work takes at one backend server at present, compared with what is usual there, from the
// figure that the server states in its responses.
//
// Answers uneven servers: a server that shares its machine with others turns slow and fast again
// several times a second. A stated figure therefore counts less the older it is, and after a while
// the server is expected to work as usual. What is usual follows from earlier figures, since the
// mean run times that are measured at the server hold its slow times already.
//
//     server_pace pace;
//     pace.record(*stated.timePercent, now);
//     const double expected = meanRunTime * pace.slowdown(now);

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::forwarding {

// The load that a server states in a response.
struct stated_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes at present, in per cent of the usual time; not every server states it.
    std::optional<std::uint32_t> timePercent;

    friend bool operator==(const stated_load &, const stated_load &) = default;
};

// Reads "running,waiting,slots" or "running,waiting,slots,percent". Returns nothing for any other
// text, and for a percentage of zero.
std::optional<stated_load> parseStatedLoad(const std::string &text);

struct server_pace_settings {
    // The distance of a stated figure from the usual one loses half of its value after this time.
    std::chrono::milliseconds halfLife{300};
    // The weight of the latest figure in the moving average that is taken for usual.
    double usualWeight = 0.01;
    // A slowdown is stated and used only up to this factor.
    double maxSlowdown = 10;
};

class server_pace
{
public:
    explicit server_pace(const server_pace_settings &settings = {});

    void record(std::uint32_t timePercent, core::monotonic_time now);

    // Returns how many times as long as usual work is expected to take; 1 if nothing was stated.
    double slowdown(core::monotonic_time now) const;

    // Returns what is left of a slowdown that was stated some time ago.
    static double
    decayed(double slowdown, std::chrono::nanoseconds age, std::chrono::milliseconds halfLife);

private:
    server_pace_settings m_settings;
    // Both in per cent of the time that the server calls usual.
    std::optional<double> m_latest;
    double m_usual = 0;
    core::monotonic_time m_recordedAt;
};

} // namespace jackdawweir::forwarding
