// The process's log, over Boost.Log: one line of key=value pairs for each event.
//
//     core::status started = startLogging(log_settings{log_level::Info, ""});
//     logEvent(event_builder("started", clock.next(wallNow)).build());

#pragma once

#include <string>

#include "jackdawweir/core/error.h"
#include "jackdawweir/observe/event.h"

namespace jackdawweir::observe {

struct log_settings {
    // Events below this level are dropped.
    log_level level = log_level::Info;
    // The file that lines are appended to; empty for standard error.
    std::string file;
};

// Replaces the process's log sink. Errors: InvalidArgument where the file cannot be opened.
core::status startLogging(const log_settings &settings);

// Flushes and removes the sink; later events are dropped.
void stopLogging();

// Writes an event. Safe to call from several threads; nothing is written before startLogging.
void logEvent(const event &logged);

} // namespace jackdawweir::observe
