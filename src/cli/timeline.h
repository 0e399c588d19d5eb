// The command timeline: merges the events of several daemons.

#pragma once

#include "cli/command_context.h"

namespace jackdawweir::cli {

// Orders events by hybrid logical time. A server that cannot be reached is reported and results in
// exit code 4; the events of the other servers are still printed.
int runTimeline(const command_context &context);

} // namespace jackdawweir::cli
