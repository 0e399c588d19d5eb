// Reading and checking a document. Forms, the command line and version-controlled files all come
// through these functions.

#pragma once

#include <string>
#include <string_view>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/document/model.h"

namespace jackdawweir::document {

// The bounds of a document; nodes are counted with every alias expanded.
constexpr std::size_t maxDocumentBytes = 1U << 20U;
constexpr std::size_t maxDocumentDepth = 16;
constexpr std::size_t maxDocumentNodes = 20'000;

// Returns the document in YAML text, fully checked but for the rules that depend on the current
// time. Errors: InvalidArgument with "FILE:LINE: FIELD: what is wrong".
core::result<document> parseDocument(std::string_view yaml, const std::string &fileName);

// Checks that every new move's completion time is after `now`. A move that `current` already holds
// unchanged may lie in the past. Errors: InvalidArgument.
core::status
checkCompletionTimes(const document &submitted, const document &current, core::wall_time now);

// Returns the canonical YAML text of a document; parseDocument reads it back to an equal document.
std::string toYaml(const document &written);

} // namespace jackdawweir::document
