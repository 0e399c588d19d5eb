// What every page shares: the frame around its content and the document it was made from.

#pragma once

#include <string>

#include "console/html.h"
#include "console/http.h"
#include "jackdawweir/console/control_plane.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/document/model.h"

namespace jackdawweir::console::internal {

// The accepted document, parsed, with the version that a change of it must expect.
struct shown_document {
    core::config_version version;
    document::document parsed;
};

core::result<shown_document> loadDocument(control_plane &plane);

// Returns a whole page. `content` is HTML.
http_response pageResponse(unsigned status, const char *title, const std::string &content);

// Returns a page that shows one message.
http_response messagePage(unsigned status, const char *title, const std::string &message);

// Returns the page of an error that is no fault of the form.
http_response failurePage(const core::error &failure);

} // namespace jackdawweir::console::internal
