// All commands except apply and timeline.

#pragma once

#include "cli/command_context.h"

namespace jackdawweir::cli {

int runValidate(const command_context &context);
int runDiff(const command_context &context);
int runExport(const command_context &context);
// Runs the commands status, history and moves.
int runRead(const command_context &context);
// Runs the commands init and drain.
int runControl(const command_context &context);

} // namespace jackdawweir::cli
