// Hybrid logical time, which orders events of all processes so that an effect never comes before
// its cause even where wall clocks differ.
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

// Issues hybrid times for one process. Safe to use from several threads.
class hybrid_clock
{
public:
    // Returns a time after every time issued or received before.
    hybrid_time next(wall_time now);

    // Takes in the time of a received message and returns a time after it.
    hybrid_time receive(const hybrid_time &remote, wall_time now);

private:
    std::mutex m_mutex;
    hybrid_time m_last;
};

} // namespace jackdawweir::core
