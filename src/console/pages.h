// The pages of the console, which need no scripts in the browser: an overview, forms for a service,
// a route and a move, a preview of the difference, and the outcome of a submission.

#pragma once

#include <string>

#include "console/http.h"
#include "jackdawweir/console/control_plane.h"

namespace jackdawweir::console::internal {

// Handles every path outside the API. `submissionId` is unique for each request; a preview page
// uses it as the id of its submission.
http_response handlePage(control_plane &plane,
                         const std::string &token,
                         const std::string &submissionId,
                         const http_request &request);

} // namespace jackdawweir::console::internal
