// Checks the rules of a document that do not depend on the current time.

#pragma once

#include <optional>

#include "jackdawweir/document/model.h"
#include "jackdawweir/document/yaml_reader.h"

namespace jackdawweir::document::internal {

constexpr std::uint32_t wholeSharePercent = 100;
constexpr std::uint32_t maxWeight = 1'000'000;
constexpr std::chrono::milliseconds minDeadline{1};
constexpr std::chrono::milliseconds maxDeadline{3'600'000};

// Returns the first violation of a rule, or nullopt if the document is valid.
std::optional<field_fault> findFault(const document &checked);

} // namespace jackdawweir::document::internal
