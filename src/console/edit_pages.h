// The forms for a service, a route and a move.

#pragma once

#include <string>

#include "console/layout.h"

namespace jackdawweir::console::internal {

// Returns the form for the object of that name; for a new object where there is none.
http_response servicePage(const shown_document &shown, const std::string &name);
http_response routePage(const shown_document &shown, const std::string &name);
http_response movePage(const shown_document &shown, const std::string &name);

} // namespace jackdawweir::console::internal
