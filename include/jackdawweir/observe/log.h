// The log of the process, based on Boost.Log: one line of key=value pairs for each event.
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
    // The file that lines are appended to. When it is empty, lines go to `destination`.
    std::string file;
    log_destination destination = log_destination::StandardError;
    // Writes the lines on a separate thread, so that a reader of the output that stops reading
    // never blocks the process. Lines are dropped and counted while logQueueLines lines are
    // waiting.
    bool isQueued = false;
};

// The capacity of the queue of lines that is used when isQueued is set.
constexpr std::size_t logQueueLines = 4096;

// Returns the number of lines since the process started that were dropped because the queue was
// full or because they could not be written.
std::uint64_t droppedLogLines();

// Starts logging and replaces an existing log sink. Errors: InvalidArgument when the file cannot be
// opened.
core::status startLogging(const log_settings &settings);

// Flushes and removes the log sink. Later events are dropped.
void stopLogging();

// Writes an event. Thread-safe. Events before startLogging are dropped.
void logEvent(const event &logged);

} // namespace jackdawweir::observe
