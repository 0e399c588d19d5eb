// Hybrid logical time, which orders the events of all processes so that an effect never comes
// before its cause, even when wall clocks differ.
//
//     hybrid_clock clock;
//     const hybrid_time sent = clock.next(wallNow);
//     const hybrid_time received = peerClock.receive(sent, peerWallNow);   // sent < received

#pragma once

#include <compare>
#include <cstdint>
#include <mutex>

#include <msgpack.hpp>

#include "jackdawweir/core/clock.h"

namespace jackdawweir::core {

struct hybrid_time {
    std::int64_t wallMicros = 0;
    std::uint32_t counter = 0;

    friend auto operator<=>(const hybrid_time &, const hybrid_time &) = default;

    MSGPACK_DEFINE_ARRAY(wallMicros, counter)
};

// Issues hybrid times for one process. Thread-safe.
class hybrid_clock
{
public:
    // Returns a time later than every time issued or received so far.
    hybrid_time next(wall_time now);

    // Records the time of a received message and returns a time later than it and every time issued
    // or received so far.
    hybrid_time receive(const hybrid_time &remote, wall_time now);

private:
    std::mutex m_mutex;
    hybrid_time m_last;
};

} // namespace jackdawweir::core
