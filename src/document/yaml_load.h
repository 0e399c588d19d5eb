// Loads YAML text and enforces limits on its size.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include <yaml-cpp/node/node.h>

#include "jackdawweir/document/yaml_reader.h"

namespace jackdawweir::document::internal {

// The tag that yaml-cpp gives to an unquoted scalar.
constexpr const char *plainScalarTag = "?";

// The field name that messages use for an error of the outermost node.
constexpr const char *topLevelField = "top level";

struct load_fault {
    std::size_t line = 1;
    std::string field;
    std::string message;
};

using load_outcome = std::variant<YAML::Node, load_fault>;

// Returns the outermost node of the only YAML document in `text`. A traversal of it with aliases
// expanded visits at most bounds.nodes nodes, and no mapping in it has duplicate keys.
load_outcome loadBounded(std::string_view text, const yaml_bounds &bounds);

// Returns the line number of a node, starting at 1.
std::size_t lineOfNode(const YAML::Node &node);

} // namespace jackdawweir::document::internal
