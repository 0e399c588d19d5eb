#include <cstdio>
#include <fstream>
#include <iterator>
#include <thread>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>
#include <yaml-cpp/yaml.h>

#include "jackdawweir/observe/log.h"
#include "jackdawweir/observe/metrics.h"
#include "jackdawweir/observe/timeline.h"

namespace jackdawweir::observe {

namespace {

event namedEvent(const std::string &name, std::int64_t micros)
{
    return event_builder(name, core::hybrid_time{micros, 0})
        .host(core::host_name{"host-1"}, core::data_centre_name{"dc-1"})
        .build();
}

} // namespace

class observe_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(observe_test);
    CPPUNIT_TEST(quotesValuesThatCouldForgePairs);
    CPPUNIT_TEST(jsonLineRoundTrips);
    CPPUNIT_TEST(logDropsEventsBelowItsLevel);
    CPPUNIT_TEST(timelineKeepsMostRecentEventsInOrder);
    CPPUNIT_TEST(metricsExposeRecordedValues);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against log injection: text from a peer that adds pairs or lines to the log.
    void quotesValuesThatCouldForgePairs()
    {
        const event logged = event_builder("refused", core::hybrid_time{5, 1})
                                 .host(core::host_name{"host-1"}, core::data_centre_name{"dc-1"})
                                 .peer("127.0.1.2:7001")
                                 .step("read-document")
                                 .field("message", "bad \"name\"\nlevel=info")
                                 .build();
        CPPUNIT_ASSERT_EQUAL(
            std::string("time=5.1 level=info event=refused "
                        "version=0.0-00000000000000000000000000000000 host=host-1 data-centre=dc-1 "
                        "peer=127.0.1.2:7001 step=read-document "
                        "message=\"bad \\\"name\\\"\\nlevel=info\""),
            toLogLine(logged));
    }

    // Guards against a line that `jackdawweir timeline` cannot parse and merge.
    void jsonLineRoundTrips()
    {
        const std::string message = "a \"b\"\n\t\\ \x01 c: {d}, \xc3\xa9 # e";
        const std::string line = toJsonLine(event_builder("refused", core::hybrid_time{5, 7})
                                                .field("message", message)
                                                .field("long", std::string(2000, 'x'))
                                                .build());
        CPPUNIT_ASSERT_EQUAL(std::string::npos, line.find('\n'));
        CPPUNIT_ASSERT_MESSAGE(
            line, absl::StartsWith(line, "{\"time\": {\"wall-micros\": 5, \"counter\": 7}, "));
        CPPUNIT_ASSERT_MESSAGE(line, absl::StrContains(line, "\\u0001"));
        const YAML::Node read = YAML::Load(line);
        CPPUNIT_ASSERT_EQUAL(message, read["fields"]["message"].as<std::string>());
    }

    // Guards against log lines that are missing or that the level should exclude.
    void logDropsEventsBelowItsLevel()
    {
        const std::string path = absl::StrCat("observe_test.", getpid(), ".log");
        logEvent(namedEvent("before-start", 0));
        CPPUNIT_ASSERT(
            core::isOk(startLogging(log_settings{.level = log_level::Warning, .file = path})));
        logEvent(namedEvent("dropped", 1));
        logEvent(event_builder("kept", core::hybrid_time{2, 0}).level(log_level::Warning).build());
        stopLogging();
        logEvent(event_builder("late", core::hybrid_time{3, 0}).level(log_level::Error).build());
        std::ifstream input(path);
        const std::string text(std::istreambuf_iterator<char>(input), {});
        std::remove(path.c_str());
        CPPUNIT_ASSERT_MESSAGE(text, absl::StartsWith(text, "time=2.0 level=warning event=kept "));
        CPPUNIT_ASSERT_EQUAL(text.size() - 1, text.find('\n'));
        CPPUNIT_ASSERT(!core::isOk(
            startLogging(log_settings{.level = log_level::Info, .file = "/nonexistent/x"})));
    }

    // Guards against unbounded memory use, and against an effect that is listed before its cause.
    void timelineKeepsMostRecentEventsInOrder()
    {
        timeline recent(3);
        std::thread other([&recent] { recent.add(namedEvent("dropped", 1)); });
        other.join();
        recent.add(namedEvent("third", 9));
        recent.add(namedEvent("first", 5));
        recent.add(namedEvent("second", 7));
        const std::vector<event> events = recent.events();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("first"), events.front().name);
        CPPUNIT_ASSERT_EQUAL(std::string("third"), events.back().name);
    }

    // Guards against a value that is exposed under the wrong metric name or label, such as an
    // outcome that is counted as another one.
    void metricsExposeRecordedValues()
    {
        metrics testMetrics;
        testMetrics.countRequest(document::request_kind::NonIdempotent, request_outcome::Unknown);
        testMetrics.observeAddedTime(std::chrono::microseconds(150));
        testMetrics.observeAddedTime(std::chrono::seconds(1));
        testMetrics.setVersionInForce(core::config_version{2, 40, {}});
        testMetrics.observeConvergence(std::chrono::milliseconds(900));
        testMetrics.addControlBytes(wire::channel::Ledger, byte_direction::Received, 300);
        testMetrics.setMoves(document::move_phase::RevertedAfterDone, 2);
        testMetrics.toText();
        const std::string text = testMetrics.toText();
        for (const char *line :
             {"jackdawweir_requests_total{kind=\"non-idempotent\",outcome=\"unknown\"} 1\n",
              "jackdawweir_requests_total{kind=\"idempotent\",outcome=\"done\"} 0\n",
              "jackdawweir_added_time_seconds_bucket{le=\"0.0001\"} 0\n",
              "jackdawweir_added_time_seconds_bucket{le=\"0.0002\"} 1\n",
              "jackdawweir_added_time_seconds_bucket{le=\"+Inf\"} 2\n",
              "jackdawweir_version_number 40\n",
              "jackdawweir_convergence_seconds_bucket{le=\"1\"} 1\n",
              "jackdawweir_control_bytes_total{direction=\"received\",purpose=\"ledger\"} 300\n",
              "jackdawweir_moves{phase=\"reverted-after-done\"} 2\n"}) {
            CPPUNIT_ASSERT_MESSAGE(absl::StrCat("missing: ", line, "in:\n", text),
                                   absl::StrContains(text, line));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(observe_test);

} // namespace jackdawweir::observe
