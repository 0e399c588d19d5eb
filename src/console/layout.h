// Shared parts of all pages: the HTML around the content, and the document that the page shows.

#pragma once

#include <string>

#include "console/html.h"
#include "console/http.h"
#include "jackdawweir/console/control_plane.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/document/model.h"

namespace jackdawweir::console::internal {

// The parsed accepted document, with the version that a submission that changes it must expect.
struct shown_document {
    core::config_version version;
    document::document parsed;
};

core::result<shown_document> loadDocument(control_plane &plane);

// Returns a complete page. `content` is HTML and is not escaped.
http_response pageResponse(unsigned status, const char *title, const std::string &content);

// Returns a page with one message, which is escaped.
http_response messagePage(unsigned status, const char *title, const std::string &message);

// Returns the page for an error that the form did not cause.
http_response failurePage(const core::error &failure);

} // namespace jackdawweir::console::internal
