// The overview page: the state of the process, services with their shares, routes and all moves.

#pragma once

#include "console/layout.h"
#include "jackdawweir/console/control_plane.h"

namespace jackdawweir::console::internal {

// Parts that are not available are replaced by the error, so that the page also works on a host
// that cannot reach the source.
http_response overviewPage(control_plane &plane);

} // namespace jackdawweir::console::internal
