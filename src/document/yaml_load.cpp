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

// Ends parsing from inside a parser callback.
class bound_exceeded : public std::exception
{
public:
    bound_exceeded(const YAML::Mark &mark, std::string message)
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

// Counts depth and nodes while the parser runs, so that no tree is built of a file that breaks a
// bound.
class bounding_handler final : public YAML::EventHandler
{
public:
    explicit bounding_handler(const yaml_bounds &bounds)
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
        enter(mark);
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
        enter(mark);
    }

    void OnMapEnd() override
    {
        --m_depth;
    }

private:
    void count(const YAML::Mark &mark)
    {
        if (++m_nodes > m_bounds.nodes) {
            throw bound_exceeded(mark, absl::StrCat("more than ", m_bounds.nodes, " nodes"));
        }
    }

    void enter(const YAML::Mark &mark)
    {
        count(mark);
        if (++m_depth > m_bounds.depth) {
            throw bound_exceeded(mark, absl::StrCat("nested deeper than ", m_bounds.depth));
        }
    }

    static void checkTag(const YAML::Mark &mark, const std::string &tag)
    {
        // "!" marks a quoted scalar, "?" any other node without a tag.
        if (!tag.empty() && tag != "!" && tag != plainScalarTag) {
            throw bound_exceeded(mark, absl::StrCat("tag ", quoteForMessage(tag), " is not known"));
        }
    }

    yaml_bounds m_bounds;
    std::size_t m_depth = 0;
    std::size_t m_nodes = 0;
};

// Walks the loaded tree with every alias expanded. It ends even where an alias points at a node
// around itself, since depth and visits are bounded.
class tree_check
{
public:
    explicit tree_check(const yaml_bounds &bounds)
        : m_bounds(bounds)
    {
    }

    std::optional<load_fault> visit(const YAML::Node &node, std::size_t depth)
    {
        if (++m_visited > m_bounds.nodes) {
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
            ++m_visited;
            if (!entry.first.IsScalar()) {
                return faultAt(entry.first, "a key must be text");
            }
            // yaml-cpp would keep the first of two equal keys and drop the other.
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
    std::size_t m_visited = 0;
};

std::optional<load_fault> checkEvents(const std::string &text, const yaml_bounds &bounds)
{
    std::istringstream input(text);
    YAML::Parser parser(input);
    bounding_handler handler(bounds);
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
    // A last line cut short often reads as a valid shorter value.
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
        if (std::optional<load_fault> fault = tree_check(bounds).visit(root, 1)) {
            return *fault;
        }
        return root;
    } catch (const bound_exceeded &exceeded) {
        return exceeded.fault();
    } catch (const YAML::Exception &failure) {
        const int line = std::max(failure.mark.line, 0);
        return load_fault{static_cast<std::size_t>(line) + 1, "syntax", failure.msg};
    }
}

} // namespace jackdawweir::document::internal
