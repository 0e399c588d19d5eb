// The command timeline: merges the events of several daemons.

#pragma once

#include "cli/session.h"

namespace jackdawweir::cli {

// Events are ordered by hybrid logical time. A server that cannot be reached is reported and makes
// the exit code 4; the events of the others are still printed.
int runTimeline(const session &run);

} // namespace jackdawweir::cli
