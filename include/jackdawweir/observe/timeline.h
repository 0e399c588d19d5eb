// The last events of a process, which `jackdawweir timeline` merges with those of other processes
// by hybrid logical time.
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

// A bounded ring of events; the oldest is dropped first. Safe to use from several threads.
class timeline
{
public:
    // `capacity` is the number of events kept, at least 1.
    explicit timeline(std::size_t capacity);

    void add(event added);

    // Returns the events kept, by hybrid time.
    std::vector<event> events() const;

    // Returns one JSON line, each with its line end, for every event kept.
    std::string toJsonLines() const;

private:
    mutable std::mutex m_mutex;
    std::size_t m_capacity;
    std::deque<event> m_events;
};

} // namespace jackdawweir::observe
