// The pages with the forms for a service, a route and a move.

#pragma once

#include <string>

#include "console/layout.h"

namespace jackdawweir::console::internal {

// Return the form for the object with this name, or for a new object if there is none.
http_response servicePage(const shown_document &shown, const std::string &name);
http_response routePage(const shown_document &shown, const std::string &name);
http_response movePage(const shown_document &shown, const std::string &name);

} // namespace jackdawweir::console::internal
