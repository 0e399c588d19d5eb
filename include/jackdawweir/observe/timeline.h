// The most recent events of a process. `jackdawweir timeline` merges them with the events of other
// processes by hybrid logical time.
//
//     timeline recent(4096);
//     recent.add(event_builder("relay-lost", clock.next(wallNow)).peer(peer).build());

#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "jackdawweir/observe/event.h"

namespace jackdawweir::observe {

// A bounded buffer of events that drops the oldest event first. Thread-safe.
class timeline
{
public:
    // `capacity` is the maximum number of events, at least 1.
    explicit timeline(std::size_t capacity);

    void add(event added);

    // Returns the buffered events in the order of their hybrid times.
    std::vector<event> events() const;

    // Returns one line of JSON, terminated by a newline, for each buffered event.
    std::string toJsonLines() const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_capacity;
    std::deque<event> m_events;
};

} // namespace jackdawweir::observe
