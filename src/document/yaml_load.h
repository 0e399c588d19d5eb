// Loads YAML text within bounds.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include <yaml-cpp/node/node.h>

#include "jackdawweir/document/yaml_reader.h"

namespace jackdawweir::document::internal {

// The tag that yaml-cpp gives to a scalar without quotes.
constexpr const char *plainScalarTag = "?";

// The field that messages name for a fault of the outermost node.
constexpr const char *topLevelField = "top level";

struct load_fault {
    std::size_t line = 1;
    std::string field;
    std::string message;
};

using load_outcome = std::variant<YAML::Node, load_fault>;

// Returns the outermost node of the only YAML document in `text`. A walk over it visits at most
// bounds.nodes nodes, and no mapping in it holds a key twice.
load_outcome loadBounded(std::string_view text, const yaml_bounds &bounds);

// Returns the line of a node, counted from 1.
std::size_t lineOfNode(const YAML::Node &node);

} // namespace jackdawweir::document::internal
