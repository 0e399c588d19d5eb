#include "jackdawweir/document/yaml_reader.h"

#include <algorithm>
#include <utility>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <yaml-cpp/yaml.h>

#include "document/yaml_load.h"
#include "jackdawweir/document/text.h"

namespace jackdawweir::document {

std::string quoteForMessage(std::string_view text)
{
    constexpr std::size_t maxShownBytes = 60;
    const std::string_view shown = text.substr(0, maxShownBytes);
    const char *ellipsis = shown.size() < text.size() ? "..." : "";
    return absl::StrCat(
        "'", absl::Utf8SafeCEscape(absl::string_view(shown.data(), shown.size())), ellipsis, "'");
}

yaml_field::yaml_field(yaml_reader &reader, const YAML::Node &node, std::string path)
    : m_reader(&reader)
    , m_node(node)
    , m_path(std::move(path))
{
    m_reader->recordLine(m_path, m_node);
}

void yaml_field::fail(const std::string &message) const
{
    m_reader->fail(field_fault{m_path, message});
}

void yaml_field::expectMapping(const std::vector<std::string> &required,
                               const std::vector<std::string> &optional) const
{
    if (m_reader->failure() != nullptr) {
        return;
    }
    if (!m_node.IsMap()) {
        fail("expected a mapping");
        return;
    }
    for (const auto &entry : m_node) {
        const std::string &key = entry.first.Scalar();
        const bool known = std::count(required.begin(), required.end(), key) != 0
            || std::count(optional.begin(), optional.end(), key) != 0;
        if (!known) {
            std::vector<std::string> keys = required;
            keys.insert(keys.end(), optional.begin(), optional.end());
            m_reader->failAtLine(internal::lineOfNode(entry.first),
                                 m_path,
                                 absl::StrCat("unknown key ",
                                              quoteForMessage(key),
                                              "; known keys: ",
                                              absl::StrJoin(keys, ", ")));
            return;
        }
    }
    for (const std::string &key : required) {
        if (!has(key)) {
            fail(absl::StrCat("missing key '", key, "'"));
            return;
        }
    }
}

bool yaml_field::has(const std::string &key) const
{
    return m_reader->failure() == nullptr && m_node.IsMap() && m_node[key].IsDefined();
}

yaml_field yaml_field::at(const std::string &key) const
{
    const std::string path = m_path.empty() ? key : absl::StrCat(m_path, ".", key);
    return {*m_reader, has(key) ? m_node[key] : YAML::Node(), path};
}

std::vector<yaml_field> yaml_field::items() const
{
    std::vector<yaml_field> fields;
    if (m_reader->failure() != nullptr) {
        return fields;
    }
    if (!m_node.IsSequence()) {
        fail("expected a list");
        return fields;
    }
    for (const auto &item : m_node) {
        fields.emplace_back(*m_reader, item, absl::StrCat(m_path, "[", fields.size(), "]"));
    }
    return fields;
}

std::string yaml_field::text() const
{
    if (m_reader->failure() != nullptr) {
        return {};
    }
    if (!m_node.IsScalar()) {
        fail("expected text");
        return {};
    }
    return m_node.Scalar();
}

std::optional<std::string> yaml_field::plainScalar(const char *expected) const
{
    if (m_reader->failure() != nullptr) {
        return std::nullopt;
    }
    // A quoted scalar is always text, even if its value looks like another type.
    if (!m_node.IsScalar() || m_node.Tag() != internal::plainScalarTag) {
        fail(absl::StrCat("expected ", expected));
        return std::nullopt;
    }
    return m_node.Scalar();
}

std::uint32_t yaml_field::number(std::uint32_t minimum, std::uint32_t maximum) const
{
    const std::string expected = absl::StrCat("a whole number from ", minimum, " to ", maximum);
    const std::optional<std::string> scalar = plainScalar(expected.c_str());
    if (!scalar.has_value()) {
        return minimum;
    }
    constexpr std::size_t maxDigits = 10;
    const bool digits = !scalar->empty() && scalar->size() <= maxDigits
        && scalar->find_first_not_of("0123456789") == std::string::npos;
    std::uint32_t value = 0;
    if (!digits || !absl::SimpleAtoi(*scalar, &value) || value < minimum || value > maximum) {
        fail(absl::StrCat("expected ", expected, ", got ", quoteForMessage(*scalar)));
        return minimum;
    }
    return value;
}

bool yaml_field::boolean() const
{
    const std::optional<std::string> scalar = plainScalar("true or false");
    if (!scalar.has_value()) {
        return false;
    }
    if (*scalar != "true" && *scalar != "false") {
        fail(absl::StrCat("expected true or false, got ", quoteForMessage(*scalar)));
    }
    return *scalar == "true";
}

std::chrono::milliseconds yaml_field::duration(std::chrono::milliseconds minimum,
                                               std::chrono::milliseconds maximum) const
{
    const std::optional<std::string> scalar
        = plainScalar("a duration with unit ms, s, min or h, for example 800ms");
    if (!scalar.has_value()) {
        return minimum;
    }
    const std::optional<std::chrono::milliseconds> parsed = parseDuration(*scalar);
    if (!parsed.has_value()) {
        fail(absl::StrCat("expected a whole number with unit ms, s, min or h, for example 800ms, "
                          "got ",
                          quoteForMessage(*scalar)));
        return minimum;
    }
    if (*parsed < minimum || *parsed > maximum) {
        fail(absl::StrCat("expected ",
                          formatDuration(minimum),
                          " to ",
                          formatDuration(maximum),
                          ", got ",
                          quoteForMessage(*scalar)));
        return minimum;
    }
    return *parsed;
}

core::wall_time yaml_field::time() const
{
    const std::optional<std::string> scalar
        = plainScalar("an RFC 3339 time in UTC, for example 2026-12-04T06:00:00Z");
    if (!scalar.has_value()) {
        return {};
    }
    const std::optional<core::wall_time> parsed = parseTime(*scalar);
    if (!parsed.has_value()) {
        fail(absl::StrCat("expected an RFC 3339 time in UTC, for example 2026-12-04T06:00:00Z, "
                          "got ",
                          quoteForMessage(*scalar)));
        return {};
    }
    return *parsed;
}

yaml_reader::yaml_reader(std::string step, std::string fileName)
    : m_step(std::move(step))
    , m_fileName(std::move(fileName))
{
}

yaml_field yaml_reader::open(std::string_view text, const yaml_bounds &bounds)
{
    const internal::load_outcome loaded = internal::loadBounded(text, bounds);
    if (const auto *fault = std::get_if<internal::load_fault>(&loaded)) {
        failAtLine(fault->line, fault->field, fault->message);
        return {*this, YAML::Node(), ""};
    }
    return {*this, std::get<YAML::Node>(loaded), ""};
}

void yaml_reader::fail(const field_fault &fault)
{
    failAtLine(lineOf(fault.field), fault.field, fault.message);
}

void yaml_reader::failAtLine(std::size_t line, const std::string &field, const std::string &message)
{
    if (m_failure.has_value()) {
        return;
    }
    m_failure
        = core::error{core::error_code::InvalidArgument,
                      m_step,
                      "",
                      absl::StrCat(m_fileName,
                                   ":",
                                   line,
                                   ": ",
                                   field.empty() ? std::string(internal::topLevelField) : field,
                                   ": ",
                                   message)};
}

const core::error *yaml_reader::failure() const
{
    return m_failure.has_value() ? &*m_failure : nullptr;
}

void yaml_reader::recordLine(const std::string &path, const YAML::Node &node)
{
    if (!m_failure.has_value()) {
        m_lines[path] = internal::lineOfNode(node);
    }
}

std::size_t yaml_reader::lineOf(const std::string &path) const
{
    std::string enclosing = path;
    while (true) {
        const auto found = m_lines.find(enclosing);
        if (found != m_lines.end()) {
            return found->second;
        }
        const std::size_t end = enclosing.find_last_of(".[");
        if (end == std::string::npos) {
            return 1;
        }
        enclosing.resize(end);
    }
}

} // namespace jackdawweir::document
