#include "document/yaml_load.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <set>
#include <sstream>

#include <absl/strings/str_cat.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include "jackdawweir/document/text.h"

namespace jackdawweir::document::internal {

namespace {

// Thrown inside a parser callback to stop parsing at the first violation.
class parse_aborted : public std::exception
{
public:
    parse_aborted(const YAML::Mark &mark, std::string message)
        : m_fault{static_cast<std::size_t>(std::max(mark.line, 0)) + 1,
                  "syntax",
                  std::move(message)}
    {
    }

    const load_fault &fault() const
    {
        return m_fault;
    }

private:
    load_fault m_fault;
};

// Checks depth, number of nodes and tags while the parser runs, so that no tree is built from a
// file that exceeds a limit.
class limit_handler final : public YAML::EventHandler
{
public:
    explicit limit_handler(const yaml_bounds &bounds)
        : m_bounds(bounds)
    {
    }

    void OnDocumentStart(const YAML::Mark & /*mark*/) override
    {
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        count(mark);
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        count(mark);
    }

    void OnScalar(const YAML::Mark &mark,
                  const std::string &tag,
                  YAML::anchor_t /*anchor*/,
                  const std::string & /*value*/) override
    {
        checkTag(mark, tag);
        count(mark);
    }

    void OnSequenceStart(const YAML::Mark &mark,
                         const std::string &tag,
                         YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override
    {
        checkTag(mark, tag);
        startNested(mark);
    }

    void OnSequenceEnd() override
    {
        --m_depth;
    }

    void OnMapStart(const YAML::Mark &mark,
                    const std::string &tag,
                    YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
        checkTag(mark, tag);
        startNested(mark);
    }

    void OnMapEnd() override
    {
        --m_depth;
    }

private:
    void count(const YAML::Mark &mark)
    {
        if (++m_nodes > m_bounds.nodes) {
            throw parse_aborted(mark, absl::StrCat("more than ", m_bounds.nodes, " nodes"));
        }
    }

    void startNested(const YAML::Mark &mark)
    {
        count(mark);
        if (++m_depth > m_bounds.depth) {
            throw parse_aborted(mark, absl::StrCat("nested deeper than ", m_bounds.depth));
        }
    }

    static void checkTag(const YAML::Mark &mark, const std::string &tag)
    {
        // yaml-cpp reports the tag "!" for a quoted scalar and "?" for any other node without a
        // tag.
        if (!tag.empty() && tag != "!" && tag != plainScalarTag) {
            throw parse_aborted(mark, absl::StrCat("tag ", quoteForMessage(tag), " is not known"));
        }
    }

    yaml_bounds m_bounds;
    std::size_t m_depth = 0;
    std::size_t m_nodes = 0;
};

// Traverses the loaded tree with every alias expanded. The traversal terminates even if an alias
// refers to a node that encloses it, since depth and number of visits are limited.
class tree_checker
{
public:
    explicit tree_checker(const yaml_bounds &bounds)
        : m_bounds(bounds)
    {
    }

    std::optional<load_fault> visit(const YAML::Node &node, std::size_t depth)
    {
        if (++m_visitedNodes > m_bounds.nodes) {
            return faultAt(node, absl::StrCat("more than ", m_bounds.nodes, " nodes with aliases"));
        }
        if (depth > m_bounds.depth) {
            return faultAt(node, absl::StrCat("nested deeper than ", m_bounds.depth));
        }
        if (node.IsMap()) {
            return visitMapping(node, depth);
        }
        if (node.IsSequence()) {
            return visitSequence(node, depth);
        }
        return std::nullopt;
    }

private:
    static load_fault faultAt(const YAML::Node &node, std::string message)
    {
        return load_fault{lineOfNode(node), "syntax", std::move(message)};
    }

    std::optional<load_fault> visitSequence(const YAML::Node &node, std::size_t depth)
    {
        for (const auto &item : node) {
            if (std::optional<load_fault> fault = visit(item, depth + 1)) {
                return fault;
            }
        }
        return std::nullopt;
    }

    std::optional<load_fault> visitMapping(const YAML::Node &node, std::size_t depth)
    {
        std::set<std::string> keys;
        for (const auto &entry : node) {
            ++m_visitedNodes;
            if (!entry.first.IsScalar()) {
                return faultAt(entry.first, "a key must be text");
            }
            // yaml-cpp would silently keep the first of two equal keys and drop the other.
            if (!keys.insert(entry.first.Scalar()).second) {
                return faultAt(
                    entry.first,
                    absl::StrCat("duplicate key ", quoteForMessage(entry.first.Scalar())));
            }
            if (std::optional<load_fault> fault = visit(entry.second, depth + 1)) {
                return fault;
            }
        }
        return std::nullopt;
    }

    yaml_bounds m_bounds;
    std::size_t m_visitedNodes = 0;
};

std::optional<load_fault> checkEvents(const std::string &text, const yaml_bounds &bounds)
{
    std::istringstream input(text);
    YAML::Parser parser(input);
    limit_handler handler(bounds);
    if (!parser.HandleNextDocument(handler)) {
        return load_fault{1, "file", "it is empty"};
    }
    if (parser.HandleNextDocument(handler)) {
        return load_fault{1, "file", "it holds more than one YAML document"};
    }
    return std::nullopt;
}

std::optional<load_fault> checkBytes(std::string_view text, const yaml_bounds &bounds)
{
    if (text.size() > bounds.bytes) {
        return load_fault{1, "file", absl::StrCat("larger than ", bounds.bytes, " bytes")};
    }
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
    if (!isPlainUtf8(text)) {
        return load_fault{1, "file", "not plain UTF-8 text"};
    }
    // A truncated last line is often a valid shorter value.
    if (text.empty() || text.back() != '\n') {
        return load_fault{
            lines + 1, "file", "no line end after the last line; it may be truncated"};
    }
    return std::nullopt;
}

} // namespace

std::size_t lineOfNode(const YAML::Node &node)
{
    return static_cast<std::size_t>(std::max(node.Mark().line, 0)) + 1;
}

load_outcome loadBounded(std::string_view text, const yaml_bounds &bounds)
{
    if (std::optional<load_fault> fault = checkBytes(text, bounds)) {
        return *fault;
    }
    try {
        const std::string copy(text);
        if (std::optional<load_fault> fault = checkEvents(copy, bounds)) {
            return *fault;
        }
        YAML::Node root = YAML::Load(copy);
        if (std::optional<load_fault> fault = tree_checker(bounds).visit(root, 1)) {
            return *fault;
        }
        return root;
    } catch (const parse_aborted &aborted) {
        return aborted.fault();
    } catch (const YAML::Exception &failure) {
        const int line = std::max(failure.mark.line, 0);
        return load_fault{static_cast<std::size_t>(line) + 1, "syntax", failure.msg};
    }
}

} // namespace jackdawweir::document::internal
