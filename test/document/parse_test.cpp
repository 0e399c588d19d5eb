#include "jackdawweir/document/parse.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <cppunit/extensions/HelperMacros.h>

#include "document/document_generator.h"
#include "support/property.h"

namespace jackdawweir::document {

namespace {

// The example document of the design page.
constexpr const char *validYaml = R"(services:
  - name: quotes
    versions:
      - {name: v1, share: 100}
      - {name: v2, share: 0}
routes:
  - {name: quote-lookup, path: /quotes/, service: quotes, kind: idempotent, urgency: high, weight: 5, deadline: 800ms}
moves:
  - {service: quotes, from: v1, to: v2, done-by: 2026-12-04T06:00:00Z}
)";

// A replacement in the valid document and the error message that it must cause.
struct malformed_case {
    std::string before;
    std::string after;
    std::string refusal;
};

void assertRefused(const std::string &yaml, const std::string &refusal)
{
    const core::result<document> parsed = parseDocument(yaml, "doc.yaml");
    const core::error *failure = core::errorIn(parsed);
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("accepted; expected: ", refusal, "\n", yaml.substr(0, 400)),
                           failure != nullptr);
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("expected: ", refusal, "\nactual: ", failure->message),
                           absl::StrContains(failure->message, absl::StrCat("doc.yaml:", refusal)));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, failure->message.find('\n'));
}

void assertRefused(const malformed_case &edit)
{
    const std::string yaml = absl::StrReplaceAll(validYaml, {{edit.before, edit.after}});
    CPPUNIT_ASSERT_MESSAGE("no edit: " + edit.before, yaml != validYaml);
    assertRefused(yaml, edit.refusal);
}

} // namespace

class parse_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parse_test);
    CPPUNIT_TEST(readsEveryField);
    CPPUNIT_TEST(refusesInvalidStructure);
    CPPUNIT_TEST(refusesRuleViolations);
    CPPUNIT_TEST(refusesDuplicateKeys);
    CPPUNIT_TEST(refusesInvalidEncoding);
    CPPUNIT_TEST(refusesDocumentsAboveTheLimits);
    CPPUNIT_TEST(refusesAliasExpansion);
    CPPUNIT_TEST(refusesDocumentsTruncatedInsideALine);
    CPPUNIT_TEST(canonicalYamlReadsBackEqual);
    CPPUNIT_TEST(readsOrRefusesCorruptedDocuments);
    CPPUNIT_TEST(refusesPastCompletionTimesOfNewMoves);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is dropped or stored as another field.
    void readsEveryField()
    {
        const core::result<document> parsed = parseDocument(validYaml, "doc.yaml");
        CPPUNIT_ASSERT_MESSAGE(core::isOk(parsed) ? "" : core::errorIn(parsed)->message,
                               core::isOk(parsed));
        const document expected
            = document_builder()
                  .addService("quotes",
                              {{core::version_name{"v1"}, 100}, {core::version_name{"v2"}, 0}})
                  .addRoute(route_builder("quote-lookup")
                                .pathPrefix("/quotes/")
                                .service("quotes")
                                .kind(request_kind::Idempotent)
                                .urgency(request_urgency::High)
                                .weight(5)
                                .deadline(std::chrono::milliseconds(800))
                                .build())
                  .addMove("quotes",
                           "v1",
                           "v2",
                           core::wall_time(std::chrono::sys_days(std::chrono::year(2026) / 12 / 4)
                                           + std::chrono::hours(6)))
                  .build();
        CPPUNIT_ASSERT(expected == core::valueIn(parsed));
    }

    // Guards against a malformed document that is accepted with a part ignored or misread (P3).
    void refusesInvalidStructure()
    {
        const malformed_case cases[] = {
            {"services:", "service:", "1: top level: unknown key 'service'"},
            {", weight: 5", ", wait: 5", "7: routes[0]: unknown key 'wait'"},
            {", weight: 5", "", "7: routes[0]: missing key 'weight'"},
            {"weight: 5", "weight: \"5\"", "7: routes[0].weight: expected a whole number"},
            {"weight: 5", "weight: 5.0", "7: routes[0].weight: expected a whole number"},
            {"weight: 5", "weight: -5", "7: routes[0].weight: expected a whole number"},
            {"weight: 5", "weight: 99999999999", "7: routes[0].weight: expected a whole number"},
            {"weight: 5", "weight: [5]", "7: routes[0].weight: expected a whole number"},
            {"weight: 5", "weight: ~", "7: routes[0].weight: expected a whole number"},
            {"weight: 5", "weight: !!int 5", "7: syntax: tag"},
            {"name: quotes", "name: [quotes]", "2: services[0].name: expected text"},
            {"name: quotes", "name: ~", "2: services[0].name: expected text"},
            {"800ms", "800", "7: routes[0].deadline: expected a whole number with unit"},
            {"800ms", "800m", "7: routes[0].deadline: expected a whole number with unit"},
            {"800ms", "0ms", "7: routes[0].deadline: expected 1ms to 3600s"},
            {"urgency: high", "urgency: highest", "7: routes[0].urgency: expected high"},
            {"kind: idempotent", "kind: safe", "7: routes[0].kind: expected idempotent"},
            {"06:00:00Z", "06:00:00", "9: moves[0].done-by: expected an RFC 3339 time in UTC"},
            {"06:00:00Z", "06:00:00+01:00", "9: moves[0].done-by: expected an RFC 3339"},
            {"12-04T", "02-30T", "9: moves[0].done-by: expected an RFC 3339 time in UTC"},
            {"  - {service: quotes, from", "  {service: quotes, from", "9: moves: expected a list"},
        };
        for (const malformed_case &each : cases) {
            assertRefused(each);
        }
    }

    // Guards against accepting a document that nodes would refuse or that contradicts itself.
    void refusesRuleViolations()
    {
        const malformed_case cases[] = {
            {"share: 100", "share: 99", "4: services[0].versions: the shares sum to 99"},
            {"share: 0", "share: 1", "4: services[0].versions: the shares sum to 101"},
            {"share: 100", "share: 101", "4: services[0].versions[0].share: expected a whole"},
            {"name: v2", "name: v1", "5: services[0].versions[1].name: duplicate name 'v1'"},
            {"service: quotes, kind", "service: orders, kind", "7: routes[0].service: no service"},
            {"{service: quotes, from",
             "{service: orders, from",
             "9: moves[0].service: no service 'orders'"},
            {"from: v1", "from: v0", "9: moves[0].from: service 'quotes' has no version 'v0'"},
            {"to: v2", "to: v3", "9: moves[0].to: service 'quotes' has no version 'v3'"},
            {"to: v2", "to: v1", "9: moves[0].to: the old and the new version are the same"},
            {"path: /quotes/", "path: quotes/", "7: routes[0].path: expected a path prefix"},
            {"path: /quotes/", "path: '/<b>/'", "7: routes[0].path: expected a path prefix"},
            {"name: quote-lookup", "name: a/b", "7: routes[0].name: expected a name"},
            {"name: quote-lookup", "name: \"a\\nb\"", "7: routes[0].name: expected a name"},
            {"moves:\n",
             "moves:\n  - {service: quotes, from: v1, to: v2, done-by: 2026-12-05T06:00:00Z}\n",
             "10: moves[1].service: second move of service 'quotes'"},
            {"routes:\n",
             "  - {name: quotes, versions: [{name: v1, share: 100}]}\nroutes:\n",
             "6: services[1].name: duplicate name 'quotes'"},
        };
        for (const malformed_case &each : cases) {
            assertRefused(each);
        }
        const std::string route
            = "  - {name: NAME, path: PATH, service: quotes, kind: idempotent, urgency: low, "
              "weight: 1, deadline: 1s}\nmoves:\n";
        assertRefused({"moves:\n",
                       absl::StrReplaceAll(route, {{"NAME", "quote-lookup"}, {"PATH", "/a/"}}),
                       "8: routes[1].name: duplicate name 'quote-lookup'"});
        assertRefused({"moves:\n",
                       absl::StrReplaceAll(route, {{"NAME", "other"}, {"PATH", "/quotes/"}}),
                       "8: routes[1].path: duplicate path prefix '/quotes/'"});
    }

    // Guards against the YAML library keeping the first of two equal keys, so that an operator's
    // second value is silently dropped.
    void refusesDuplicateKeys()
    {
        assertRefused({"weight: 5", "weight: 5, weight: 9", "7: syntax: duplicate key 'weight'"});
        assertRefused(std::string(validYaml) + "routes: []\n",
                      "10: syntax: duplicate key 'routes'");
    }

    // Guards against bytes that other readers of the accepted document would decode differently.
    void refusesInvalidEncoding()
    {
        for (const char *bytes : {"\xff", "\xc0\xaf", "\xed\xa0\x80", "\xe2\x82", "\x01", "\x7f"}) {
            assertRefused(absl::StrCat("# ", bytes, "\n", validYaml), "1: file: not plain UTF-8");
        }
        assertRefused(std::string("services: []\nroutes: []\n\0", 25), "1: file: not plain UTF-8");
    }

    // Guards against unbounded memory and stack use for a malicious document.
    void refusesDocumentsAboveTheLimits()
    {
        assertRefused(validYaml + std::string(maxDocumentBytes, '#') + "\n",
                      "1: file: larger than");
        const std::size_t deep = 100'000;
        assertRefused("services: " + std::string(deep, '[') + "\n",
                      "1: syntax: nested deeper than");
        std::string wide = "services: [";
        for (std::size_t index = 0; index <= maxDocumentNodes; ++index) {
            wide += "a,";
        }
        assertRefused(wide + "]\n", "1: syntax: more than 20000 nodes");
        assertRefused("", "1: file: no line end");
        assertRefused("\n", "1: file: it is empty");
        assertRefused(absl::StrCat("---\n", validYaml, "---\n", validYaml),
                      "1: file: it holds more");
    }

    // Guards against a file of a few hundred bytes that expands to billions of nodes, and against
    // an endless traversal of an alias to a node that encloses it.
    void refusesAliasExpansion()
    {
        std::string expandingYaml = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
        for (int level = 1; level < 10; ++level) {
            const std::string alias = absl::StrCat("*a", level - 1);
            absl::StrAppend(&expandingYaml, "a", level, ": &a", level, " [", alias);
            for (int copies = 1; copies < 10; ++copies) {
                absl::StrAppend(&expandingYaml, ", ", alias);
            }
            expandingYaml += "]\n";
        }
        assertRefused(expandingYaml, "1: syntax: more than 20000 nodes with aliases");
        assertRefused("services: &a [*a]\nroutes: []\n", "1: syntax: nested deeper than 16");
    }

    // Guards against a document that is truncated in transfer and still parses as a valid,
    // different document.
    void refusesDocumentsTruncatedInsideALine()
    {
        const std::string whole = validYaml;
        for (std::size_t size = 0; size < whole.size(); ++size) {
            const std::string truncated = whole.substr(0, size);
            const bool atLineEnd = !truncated.empty() && truncated.back() == '\n';
            const core::result<document> parsed = parseDocument(truncated, "doc.yaml");
            CPPUNIT_ASSERT_MESSAGE(truncated, atLineEnd || !core::isOk(parsed));
        }
    }

    // Guards against forms that submit a document other than the one shown.
    void canonicalYamlReadsBackEqual()
    {
        jackdawweir::test::checkProperty("canonical YAML reads back to an equal document", [] {
            const document written = *test::anyDocument();
            const std::string yaml = toYaml(written);
            const core::result<document> read = parseDocument(yaml, "doc.yaml");
            RC_LOG(yaml);
            if (const core::error *failure = core::errorIn(read)) {
                RC_FAIL(failure->message);
            }
            RC_ASSERT(core::valueIn(read) == written);
            RC_ASSERT(toYaml(core::valueIn(read)) == yaml);
        });
    }

    // Guards against a daemon that crashes because the YAML library throws on corrupted input.
    void readsOrRefusesCorruptedDocuments()
    {
        jackdawweir::test::checkProperty("damaged documents are read or refused", [] {
            std::string yaml = validYaml;
            const int corruptions = *rc::gen::inRange(1, 6);
            for (int index = 0; index < corruptions; ++index) {
                const auto offset = *rc::gen::inRange<std::size_t>(0, yaml.size());
                const auto length = *rc::gen::inRange<std::size_t>(0, 8);
                const auto mark = rc::gen::elementOf(std::string("{}[]:,-&*!|>'\"%@`?#~<= \n\ta0"));
                yaml.replace(offset, length, *rc::gen::container<std::string>(length, mark));
            }
            const core::result<document> parsed = parseDocument(yaml, "doc.yaml");
            if (const core::error *failure = core::errorIn(parsed)) {
                RC_ASSERT(absl::StartsWith(failure->message, "doc.yaml:"));
            } else {
                const core::result<document> again
                    = parseDocument(toYaml(core::valueIn(parsed)), "again.yaml");
                RC_ASSERT(core::isOk(again));
                RC_ASSERT(core::valueIn(again) == core::valueIn(parsed));
            }
        });
    }

    // Guards against a new move whose completion time has already passed. A document that still
    // lists a finished move must remain acceptable.
    void refusesPastCompletionTimesOfNewMoves()
    {
        const document moving = core::valueIn(parseDocument(validYaml, "doc.yaml"));
        const core::wall_time doneBy = moving.moves.front().doneBy;
        const document none;
        CPPUNIT_ASSERT(
            core::isOk(checkCompletionTimes(moving, none, doneBy - std::chrono::seconds(1))));
        CPPUNIT_ASSERT(!core::isOk(checkCompletionTimes(moving, none, doneBy)));
        CPPUNIT_ASSERT(
            core::isOk(checkCompletionTimes(moving, moving, doneBy + std::chrono::hours(1))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parse_test);

} // namespace jackdawweir::document
