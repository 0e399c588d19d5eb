#include "jackdawweir/settings/settings.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <cppunit/extensions/HelperMacros.h>

namespace jackdawweir::settings {

namespace {

constexpr const char *validYaml = R"(host: host-1
region: north
data-centre: dc-1
callers: 127.0.1.1:8080
operators: 127.0.1.1:8081
mesh: 127.0.1.1:7001
data-centres:
  - {name: dc-1, region: north, relay-candidates: ["127.0.1.1:7001", "127.0.1.2:7001"]}
  - {name: dc-2, region: north, relay-candidates: ["127.0.2.1:7001"]}
sources: ["127.0.1.1:7002", "127.0.2.1:7002"]
source: {mesh: "127.0.1.1:7002", data-folder: /var/lib/jackdawweir, bootstrap: true}
operator-token-file: /etc/jackdawweir/token
log-level: warning
limits: {shutdown-timeout: 10s}
)";

daemon_settings_builder validBuilder()
{
    return daemon_settings_builder()
        .host("host-1", "north", "dc-1")
        .callers("127.0.1.1:8080")
        .operators("127.0.1.1:8081")
        .mesh("127.0.1.1:7001")
        .addDataCentre({{"dc-1"}, {"north"}, {{"127.0.1.1:7001"}, {"127.0.1.2:7001"}}})
        .addDataCentre({{"dc-2"}, {"north"}, {{"127.0.2.1:7001"}}})
        .addSource("127.0.1.1:7002")
        .addSource("127.0.2.1:7002")
        .source({{"127.0.1.1:7002"}, "/var/lib/jackdawweir", true})
        .operatorTokenFile("/etc/jackdawweir/token")
        .logLevel(observe::log_level::Warning)
        .limits({std::chrono::seconds(10)});
}

// An edit of the valid settings and the text that the error message must contain.
struct malformed_case {
    std::string before;
    std::string after;
    std::string expectedMessage;
};

} // namespace

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(readsSettingsEqualToBuiltOnes);
    CPPUNIT_TEST(refusesMalformedSettings);
    CPPUNIT_TEST(builderAppliesTheSameRules);
    CPPUNIT_TEST(refusesMissingOrEmptyFiles);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a setting that is ignored or read into another field.
    void readsSettingsEqualToBuiltOnes()
    {
        const core::result<daemon_settings> built = validBuilder().build();
        CPPUNIT_ASSERT(core::isOk(built));
        const core::result<daemon_settings> read = parseSettings(validYaml, "host.yaml");
        CPPUNIT_ASSERT_MESSAGE(core::isOk(read) ? "" : core::errorIn(read)->message,
                               core::isOk(read));
        CPPUNIT_ASSERT(core::valueIn(built) == core::valueIn(read));
        const core::result<daemon_settings> again
            = parseSettings(toYaml(core::valueIn(built)), "host.yaml");
        CPPUNIT_ASSERT(core::isOk(again));
        CPPUNIT_ASSERT(core::valueIn(built) == core::valueIn(again));
    }

    // Guards against a process that starts with settings that differ from what the operator
    // intended.
    void refusesMalformedSettings()
    {
        const malformed_case cases[] = {
            {"host:", "hots:", "1: top level: unknown key 'hots'"},
            {"mesh: 127.0.1.1:7001\n", "", "1: top level: missing key 'mesh'"},
            {"host: host-1", "host: host-1\nhost: host-2", "2: syntax: duplicate key 'host'"},
            {"host: host-1", "host: [a]", "1: host: expected text"},
            {"host: host-1", "host: a b", "1: host: expected a name"},
            {"data-centre: dc-1", "data-centre: dc-3", "3: data-centre: 'dc-3' is not in"},
            {"region: north\ndata", "region: south\ndata", "2: region: data-centres puts 'dc-1'"},
            {"name: dc-2", "name: dc-1", "9: data-centres[1].name: duplicate name 'dc-1'"},
            {"callers: 127.0.1.1:8080", "callers: 127.0.1.1", "4: callers: expected ADDRESS:PORT"},
            {"callers: 127.0.1.1:8080", "callers: a.b:80", "4: callers: expected ADDRESS:PORT"},
            {"callers: 127.0.1.1:8080", "callers: 127.0.1.1:0", "4: callers: expected ADDRESS"},
            {"callers: 127.0.1.1:8080", "callers: 127.0.1.1:65536", "4: callers: expected ADDRESS"},
            {"operators: 127.0.1.1:8081",
             "operators: 127.0.1.1:8080",
             "5: operators: duplicate address 127.0.1.1:8080, also in callers"},
            {"callers: 127.0.1.1:8080",
             "callers: 127.0.1.1:7001",
             "8: data-centres[0].relay-candidates[0]: duplicate address"},
            {"[\"127.0.2.1:7001\"]}",
             "[\"127.0.1.2:7001\"]}",
             "9: data-centres[1].relay-candidates[0]: duplicate address 127.0.1.2:7001"},
            {"[\"127.0.2.1:7001\"]}", "[]}", "9: data-centres[1].relay-candidates: expected at"},
            {"sources: [\"127.0.1.1:7002\"",
             "sources: [\"127.0.2.1:7002\"",
             "10: sources[1]: duplicate address 127.0.2.1:7002"},
            {"sources: [\"127.0.1.1:7002\"",
             "sources: [\"127.0.1.1:7001\"",
             "10: sources[0]: duplicate address 127.0.1.1:7001"},
            {"sources: [\"127.0.1.1:7002\", ", "sources: [", "10: sources: lacks 127.0.1.1:7002"},
            {"bootstrap: true", "bootstrap: yes", "11: source.bootstrap: expected true or false"},
            {"bootstrap: true", "bootstrap: \"true\"", "11: source.bootstrap: expected true"},
            {"log-level: warning", "log-level: loud", "13: log-level: expected debug"},
            {"10s", "10", "14: limits.shutdown-timeout: expected a whole number with unit"},
            {"10s", "11min", "14: limits.shutdown-timeout: expected 100ms to 600s"},
            {"shutdown-timeout", "caller-calls", "14: limits: unknown key 'caller-calls'"},
        };
        for (const malformed_case &each : cases) {
            const std::string yaml = absl::StrReplaceAll(validYaml, {{each.before, each.after}});
            CPPUNIT_ASSERT_MESSAGE("no edit: " + each.before, yaml != validYaml);
            const core::result<daemon_settings> read = parseSettings(yaml, "host.yaml");
            const core::error *failure = core::errorIn(read);
            CPPUNIT_ASSERT_MESSAGE("accepted; expected: " + each.expectedMessage,
                                   failure != nullptr);
            CPPUNIT_ASSERT_MESSAGE(
                absl::StrCat("expected: ", each.expectedMessage, "\nactual: ", failure->message),
                absl::StrContains(failure->message,
                                  absl::StrCat("host.yaml:", each.expectedMessage)));
        }
    }

    // Guards against settings built in code that parseSettings would refuse.
    void builderAppliesTheSameRules()
    {
        const core::result<daemon_settings> built
            = validBuilder().callers("127.0.1.1:8081").build();
        CPPUNIT_ASSERT(core::errorIn(built) != nullptr);
        CPPUNIT_ASSERT_EQUAL(
            std::string("operators: duplicate address 127.0.1.1:8081, also in callers"),
            core::errorIn(built)->message);
    }

    // Guards against a daemon that starts without its settings, without its operator token or with
    // an empty one, which is easily guessed.
    void refusesMissingOrEmptyFiles()
    {
        CPPUNIT_ASSERT(!core::isOk(readSettings("/nonexistent/host.yaml")));
        CPPUNIT_ASSERT(!core::isOk(readOperatorToken("/nonexistent/token")));
        CPPUNIT_ASSERT(!core::isOk(readOperatorToken("/dev/null")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace jackdawweir::settings
