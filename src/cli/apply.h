// The command apply: submits a document and waits for its outcome.

#pragma once

#include "cli/command_context.h"

namespace jackdawweir::cli {

// If a response is lost or the outcome is unknown, sends the same submission again, to each server
// in turn, until the timeout expires.
int runApply(const command_context &context);

} // namespace jackdawweir::cli
