// The process's log, over Boost.Log: one line of key=value pairs for each event.
//
//     core::status started = startLogging(log_settings{log_level::Info, ""});
//     logEvent(event_builder("started", clock.next(wallNow)).build());

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "jackdawweir/core/error.h"
#include "jackdawweir/observe/event.h"

namespace jackdawweir::observe {

enum class log_destination : std::uint8_t {
    StandardError,
    StandardOutput,
};

struct log_settings {
    // Events below this level are dropped.
    log_level level = log_level::Info;
    // The file that lines are appended to; empty for `destination`.
    std::string file;
    log_destination destination = log_destination::StandardError;
    // True where a thread of its own writes the lines, so that a reader that stops reading never
    // blocks the process. Lines beyond logQueueLines are dropped and counted.
    bool isQueued = false;
};

// The lines that wait to be written, where isQueued is set.
constexpr std::size_t logQueueLines = 4096;

// Returns the number of lines that were dropped since the process began.
std::uint64_t droppedLogLines();

// Replaces the process's log sink. Errors: InvalidArgument where the file cannot be opened.
core::status startLogging(const log_settings &settings);

// Flushes and removes the sink; later events are dropped.
void stopLogging();

// Writes an event. Safe to call from several threads; nothing is written before startLogging.
void logEvent(const event &logged);

} // namespace jackdawweir::observe
