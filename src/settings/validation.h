// Validation rules that concern several fields of the settings or the syntax of a value.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "jackdawweir/document/yaml_reader.h"
#include "jackdawweir/settings/settings.h"

namespace jackdawweir::settings::internal {

constexpr std::chrono::milliseconds minShutdownTimeout{100};
constexpr std::chrono::milliseconds maxShutdownTimeout{600'000};
// The replicated log is designed for at most this many replicas.
constexpr std::size_t maxSources = 7;

// Returns the first field that violates a rule, or nothing if the settings are valid.
std::optional<document::field_fault> findFault(const daemon_settings &checked);

} // namespace jackdawweir::settings::internal
