// The overview: the state of the process, services with shares, routes and every move.

#pragma once

#include "console/layout.h"
#include "jackdawweir/console/control_plane.h"

namespace jackdawweir::console::internal {

// Parts that cannot be had are replaced by the reason, so that the page works on a host that is cut
// off from the source.
http_response overviewPage(control_plane &plane);

} // namespace jackdawweir::console::internal
