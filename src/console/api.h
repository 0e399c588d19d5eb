// The HTTP API. Responses are JSON, documents are transferred byte for byte, and announcements are
// form-encoded.

#pragma once

#include <string>

#include "console/http.h"
#include "jackdawweir/console/control_plane.h"

namespace jackdawweir::console::internal {

// Compares tokens in a time that does not depend on the position of the first difference. Returns
// false if `expected` is empty.
bool tokensMatch(const std::string &expected, const std::string &given);

// Validates a document and submits it. Rules that depend on the current time are left to the
// source, because a resend must get its first outcome from the submission table even after the time
// has passed.
submission_outcome submitChecked(control_plane &plane, const submission &submitted);

// Handles the paths /v1/... and /metrics.
http_response
handleApi(control_plane &plane, const std::string &token, const http_request &request);

} // namespace jackdawweir::console::internal
