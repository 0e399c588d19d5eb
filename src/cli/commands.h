// The commands but for apply and timeline.

#pragma once

#include "cli/session.h"

namespace jackdawweir::cli {

int runValidate(const session &run);
int runDiff(const session &run);
int runExport(const session &run);
// status, history and moves.
int runRead(const session &run);
// init and drain.
int runControl(const session &run);

} // namespace jackdawweir::cli
