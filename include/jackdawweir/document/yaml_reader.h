// Strict reading of bounded YAML, for documents and settings. A reader keeps the first fault and
// turns every later read into a no-op, so callers read straight through and check once:
//
//     yaml_reader reader("read-settings", "host-1.yaml");
//     const yaml_field top = reader.open(text);
//     top.expectMapping({"host"}, {"log-level"});
//     const std::string host = top.at("host").text();
//     if (const core::error *failure = reader.failure()) {
//         return *failure;   // "host-1.yaml:1: host: ..."
//     }

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/node/node.h>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/error.h"

namespace jackdawweir::document {

// Bounds that hold before and during the walk over a file, since YAML aliases can expand a small
// file into a very large tree.
struct yaml_bounds {
    std::size_t bytes = 0;
    std::size_t depth = 0;
    // Nodes counted with every alias expanded.
    std::size_t nodes = 0;
};

// A rule that typed values break, with the path of the field, for example "moves[0].to".
struct field_fault {
    std::string field;
    std::string message;
};

// Returns text as it may appear inside a one-line message: escaped, shortened and in single quotes.
std::string quoteForMessage(std::string_view text);

class yaml_reader;

// One node of the file with the path that messages name.
class yaml_field
{
public:
    yaml_field(yaml_reader &reader, const YAML::Node &node, std::string path);

    // Requires a mapping that has all `required` keys and no key outside both lists.
    void expectMapping(const std::vector<std::string> &required,
                       const std::vector<std::string> &optional) const;

    bool has(const std::string &key) const;
    yaml_field at(const std::string &key) const;

    // The items of a sequence.
    std::vector<yaml_field> items() const;

    std::string text() const;
    // A plain whole number from `least` to `most`.
    std::uint32_t number(std::uint32_t least, std::uint32_t most) const;
    // "true" or "false".
    bool boolean() const;
    std::chrono::milliseconds duration(std::chrono::milliseconds least,
                                       std::chrono::milliseconds most) const;
    core::wall_time time() const;

    // Records a fault of this field.
    void fail(const std::string &message) const;

private:
    std::optional<std::string> plainScalar(const char *expected) const;

    yaml_reader *m_reader;
    YAML::Node m_node;
    std::string m_path;
};

class yaml_reader
{
public:
    // `step` is the step that errors carry.
    yaml_reader(std::string step, std::string fileName);

    // Loads the only YAML document of `text` after checking size, encoding, depth, nodes, tags and
    // duplicate keys.
    yaml_field open(std::string_view text, const yaml_bounds &bounds);

    // Records a fault at the line where the field, or the closest field around it, was read.
    void fail(const field_fault &fault);
    void failAtLine(std::size_t line, const std::string &field, const std::string &message);

    // Returns nullptr while everything read is valid.
    const core::error *failure() const;

private:
    friend class yaml_field;

    void noteLine(const std::string &path, const YAML::Node &node);
    std::size_t lineOf(const std::string &path) const;

    std::string m_step;
    std::string m_fileName;
    std::map<std::string, std::size_t> m_lines;
    std::optional<core::error> m_failure;
};

} // namespace jackdawweir::document
