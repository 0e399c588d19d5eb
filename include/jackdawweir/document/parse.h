// Parses and validates documents. Forms, the command line and version-controlled files all use
// these functions.

#pragma once

#include <string>
#include <string_view>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/document/model.h"

namespace jackdawweir::document {

// Limits on the size of a document. YAML nodes are counted with every alias expanded.
constexpr std::size_t maxDocumentBytes = 1U << 20U;
constexpr std::size_t maxDocumentDepth = 16;
constexpr std::size_t maxDocumentNodes = 20'000;

// Parses YAML text into a document and checks every rule that does not depend on the current time.
// Errors: InvalidArgument with a message of the form "FILE:LINE: FIELD: MESSAGE".
core::result<document> parseDocument(std::string_view yaml, const std::string &fileName);

// Checks that the completion time of every new move is after `now`. The completion time of a move
// that `current` already contains unchanged may be in the past. Errors: InvalidArgument.
core::status
checkCompletionTimes(const document &submitted, const document &current, core::wall_time now);

// Returns the canonical YAML text of a document; parseDocument reads it back to an equal document.
std::string toYaml(const document &written);

} // namespace jackdawweir::document
