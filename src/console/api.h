// The API: JSON answers, documents as bytes, announcements as forms.

#pragma once

#include <string>

#include "console/http.h"
#include "jackdawweir/console/control_plane.h"

namespace jackdawweir::console::internal {

// Returns true when the request carries the token. The time taken does not depend on where a wrong
// token differs.
bool tokensMatch(const std::string &expected, const std::string &given);

// Checks a document and submits it. The submission table answers a resend, so rules that depend on
// the time are left to the source.
submission_outcome submitChecked(control_plane &plane, const submission &submitted);

// Handles the paths /v1/... and /metrics.
http_response
handleApi(control_plane &plane, const std::string &token, const http_request &request);

} // namespace jackdawweir::console::internal
