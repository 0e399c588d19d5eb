// The command apply: submits a document and waits for its outcome.

#pragma once

#include "cli/session.h"

namespace jackdawweir::cli {

// A response that is lost or unknown is answered by sending the same submission again, to each
// server in turn, until the timeout.
int runApply(const session &run);

} // namespace jackdawweir::cli
