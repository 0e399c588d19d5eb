// A strict reader of YAML of limited size, for documents and settings. A reader records the first
// error and turns every later read into a no-op, so callers read all fields and check once:
//
//     yaml_reader reader("read-settings", "host-1.yaml");
//     const yaml_field top = reader.open(text, bounds);
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

// Limits that are enforced while a file is parsed and traversed, since YAML aliases can expand a
// small file into a very large tree.
struct yaml_bounds {
    std::size_t bytes = 0;
    std::size_t depth = 0;
    // Nodes counted with every alias expanded.
    std::size_t nodes = 0;
};

// A violated rule, with the path of the field, for example "moves[0].to".
struct field_fault {
    std::string field;
    std::string message;
};

// Returns text in a form that is safe inside a one-line message: escaped, shortened and in single
// quotes.
std::string quoteForMessage(std::string_view text);

class yaml_reader;

// One node of the file with its path, which error messages include.
class yaml_field
{
public:
    yaml_field(yaml_reader &reader, const YAML::Node &node, std::string path);

    // Requires a mapping with all `required` keys and no key that is in neither list.
    void expectMapping(const std::vector<std::string> &required,
                       const std::vector<std::string> &optional) const;

    bool has(const std::string &key) const;
    yaml_field at(const std::string &key) const;

    // Returns the items of a sequence.
    std::vector<yaml_field> items() const;

    std::string text() const;
    // Returns an unquoted whole number from `minimum` to `maximum`.
    std::uint32_t number(std::uint32_t minimum, std::uint32_t maximum) const;
    // Returns the value of an unquoted "true" or "false".
    bool boolean() const;
    std::chrono::milliseconds duration(std::chrono::milliseconds minimum,
                                       std::chrono::milliseconds maximum) const;
    core::wall_time time() const;

    // Records an error of this field.
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
    // `step` is the step that the reader's errors report.
    yaml_reader(std::string step, std::string fileName);

    // Loads the only YAML document in `text` and checks its size, encoding, depth, number of nodes,
    // tags and duplicate keys.
    yaml_field open(std::string_view text, const yaml_bounds &bounds);

    // Records an error at the line of the field, or of its closest enclosing field that was read.
    void fail(const field_fault &fault);
    void failAtLine(std::size_t line, const std::string &field, const std::string &message);

    // Returns the first error, or nullptr if there is none.
    const core::error *failure() const;

private:
    friend class yaml_field;

    void recordLine(const std::string &path, const YAML::Node &node);
    std::size_t lineOf(const std::string &path) const;

    std::string m_step;
    std::string m_fileName;
    std::map<std::string, std::size_t> m_lines;
    std::optional<core::error> m_failure;
};

} // namespace jackdawweir::document
