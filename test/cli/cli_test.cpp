#include "jackdawweir/cli/cli.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jackdawweir/console/server.h"
#include "jackdawweir/observe/timeline.h"
#include "support/fake_control_plane.h"
#include "support/scripted_server.h"

namespace jackdawweir::cli {

namespace {

constexpr const char *token = "0123456789abcdef-token";
constexpr const char *validYaml
    = "services:\n  - {name: quotes, versions: [{name: v1, share: 100}]}\n"
      "routes: []\n# kept\n";

// Accepts connections on a loopback port, reads a request from each and closes it without a
// response.
class lossy_server
{
public:
    lossy_server()
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        CPPUNIT_ASSERT_EQUAL(0, bind(m_listener, reinterpret_cast<sockaddr *>(&address), size));
        listen(m_listener, 1);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~lossy_server()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    std::string address() const
    {
        return absl::StrCat("127.0.0.1:", m_port);
    }

private:
    void serve() const
    {
        char buffer[65536];
        int connection = -1;
        while ((connection = accept(m_listener, nullptr, nullptr)) >= 0) {
            (void)!recv(connection, buffer, sizeof buffer, 0);
            close(connection);
        }
    }

    int m_listener;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

void assertContains(const std::string &text, const std::string &part)
{
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("missing: ", part, "\nin: ", text),
                           absl::StrContains(text, part));
}

} // namespace

class cli_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cli_test);
    CPPUNIT_TEST(validatesWithoutAServer);
    CPPUNIT_TEST(showsDifferences);
    CPPUNIT_TEST(appliesAndExportsTheSameBytes);
    CPPUNIT_TEST(exitCodesDistinguishOutcomes);
    CPPUNIT_TEST(resendsTheSameSubmissionAfterALostResponse);
    CPPUNIT_TEST(resendsUntilTheOutcomeIsKnown);
    CPPUNIT_TEST(unreachableServersAreNotReportedAsUnknown);
    CPPUNIT_TEST(brokenResponsesStateNoOutcome);
    CPPUNIT_TEST(mergesTimelinesByHybridTime);
    CPPUNIT_TEST(controlCommandsUseTheToken);
    CPPUNIT_TEST(printsReadsAsTextAndJson);
    CPPUNIT_TEST(refusesWrongUsage);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_prefix = absl::StrCat("cli_test.", getpid());
        m_document = writeFile("document", validYaml);
        m_tokenFile = writeFile("token", absl::StrCat(token, "\n"));
        auto started
            = console::console_server::start(core::endpoint{"127.0.0.1:0"}, token, m_plane);
        CPPUNIT_ASSERT(core::isOk(started));
        m_server = core::valueIn(std::move(started));
        m_address = absl::StrCat("127.0.0.1:", m_server->port());
    }

    void tearDown() override
    {
        m_server.reset();
        for (const std::string &path : m_files) {
            std::remove(path.c_str());
        }
        m_files.clear();
    }

    // Guards against a check in version control that accepts a document that the source refuses.
    void validatesWithoutAServer()
    {
        CPPUNIT_ASSERT_EQUAL(exitDone, run({"validate", m_document}));
        const std::string bad = writeFile("bad", "services: []\nroute: []\n");
        CPPUNIT_ASSERT_EQUAL(exitRefused, run({"validate", m_document, bad}));
        assertContains(m_out, bad + ":2: top level: unknown key 'route'");
        CPPUNIT_ASSERT_EQUAL(exitUsage, run({"validate", "/nonexistent/file"}));
    }

    // Guards against a difference that misleads a reviewer.
    void showsDifferences()
    {
        const std::string empty = writeFile("empty", "services: []\nroutes: []\n");
        CPPUNIT_ASSERT_EQUAL(exitDone, run({"diff", empty, m_document}));
        CPPUNIT_ASSERT_EQUAL(std::string("+ service quotes: v1 100%\n"), m_out);
        m_plane.current.yaml = validYaml;
        CPPUNIT_ASSERT_EQUAL(exitDone,
                             run({"diff", empty, "--server", m_address, "--output", "json"}));
        assertContains(m_out, "\"change\": \"removed\", \"object\": \"service\"");
    }

    // Guards against an accepted document that differs from the one under version control.
    void appliesAndExportsTheSameBytes()
    {
        CPPUNIT_ASSERT_EQUAL(exitDone, apply({}));
        assertContains(m_out, "accepted: 1.1-");
        const std::string exported = writeFile("exported", "");
        CPPUNIT_ASSERT_EQUAL(exitDone, run({"export", "--server", m_address, "--file", exported}));
        std::ifstream input(exported, std::ios::binary);
        const std::string bytes(std::istreambuf_iterator<char>(input), {});
        CPPUNIT_ASSERT_EQUAL(std::string(validYaml), bytes);
    }

    // Guards against exit codes from which a script cannot distinguish the outcomes.
    void exitCodesDistinguishOutcomes()
    {
        const core::config_version winning{2, 9, core::digestOf("b")};
        m_plane.onSubmit = [winning](const auto &) {
            return console::submission_conflict{winning};
        };
        CPPUNIT_ASSERT_EQUAL(exitRefused, apply({}));
        CPPUNIT_ASSERT_EQUAL(absl::StrCat("conflict: ", core::toString(winning), "\n"), m_out);
        m_plane.onSubmit = [](const auto &) {
            return console::submission_refused{
                core::error{core::error_code::InvalidArgument, "", "", "moves[0].done-by: past"}};
        };
        CPPUNIT_ASSERT_EQUAL(exitRefused, apply({"--output", "json"}));
        assertContains(m_out, "{\"outcome\": \"refused\", \"reason\": \"moves[0].done-by: past\"}");
        m_plane.onSubmit = [](const auto &) {
            return console::submission_unknown{"no majority"};
        };
        CPPUNIT_ASSERT_EQUAL(exitUnknown, apply({"--timeout", "2s", "--submission", "id-9"}));
        assertContains(m_err, "--submission id-9 --expect 0.0-");
        m_tokenFile = writeFile("wrong", "another-token-of-length\n");
        CPPUNIT_ASSERT_EQUAL(exitRefused, apply({}));
    }

    // Guards against a change that is applied twice, or reported as not applied, after its response
    // was lost (F7).
    void resendsTheSameSubmissionAfterALostResponse()
    {
        const lossy_server lossy;
        const std::string expect = core::toString(m_plane.current.version);
        CPPUNIT_ASSERT_EQUAL(exitDone,
                             run({"apply",
                                  "--file",
                                  m_document,
                                  "--token-file",
                                  m_tokenFile,
                                  "--submission",
                                  "id-1",
                                  "--expect",
                                  expect,
                                  "--server",
                                  lossy.address(),
                                  "--server",
                                  m_address}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_plane.submissions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("id-1"), m_plane.submissions.front().id.value);
        const lossy_server lossyOnly;
        CPPUNIT_ASSERT_EQUAL(exitUnknown,
                             run({"apply",
                                  "--file",
                                  m_document,
                                  "--token-file",
                                  m_tokenFile,
                                  "--expect",
                                  expect,
                                  "--timeout",
                                  "2s",
                                  "--server",
                                  lossyOnly.address()}));
    }

    // Guards against an apply that stops, or uses a new submission id, after the first unknown
    // outcome.
    void resendsUntilTheOutcomeIsKnown()
    {
        m_plane.onSubmit = [this](const auto &) -> console::submission_outcome {
            if (m_plane.submissions.size() < 3) {
                return console::submission_unknown{"election"};
            }
            return console::submission_accepted{core::config_version{1, 1, {}}};
        };
        CPPUNIT_ASSERT_EQUAL(exitDone, apply({}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_plane.submissions.size());
        for (const console::submission &each : m_plane.submissions) {
            CPPUNIT_ASSERT_EQUAL(m_plane.submissions.front().id.value, each.id.value);
            CPPUNIT_ASSERT(m_plane.submissions.front().expected == each.expected);
        }
    }

    // Guards against the outcome "unknown" when no request was sent.
    void unreachableServersAreNotReportedAsUnknown()
    {
        m_server.reset();
        CPPUNIT_ASSERT_EQUAL(exitUnreachable, apply({"--timeout", "50ms"}));
        const std::string expect = core::toString(core::config_version{});
        CPPUNIT_ASSERT_EQUAL(exitUnreachable, apply({"--timeout", "50ms", "--expect", expect}));
        CPPUNIT_ASSERT_EQUAL(exitUnreachable, run({"status", "--server", m_address}));
    }

    // Guards against a document that is exported in part, and against a change that is reported as
    // done or refused although the server stated neither.
    void brokenResponsesStateNoOutcome()
    {
        const std::string version
            = "Jackdawweir-Version: " + core::toString(core::config_version{});
        for (const std::string &broken :
             {"HTTP/1.1 000 Trouble\r\n" + version + "\r\nContent-Length: 9\r\n\r\nservices:",
              "HTTP/1.1 200 OK\r\n" + version + "\r\n\r\nservices:",
              "HTTP/1.1 200 OK\r\n" + version + "\r\nContent Length: 90\r\n\r\nservices:",
              "HTTP/1.1 200 OK\r\n" + version
                  + "\r\nNo\x01te: 1\r\nContent-Length: 9\r\n\r\nservices:"}) {
            const test::scripted_server server({{broken, test::after_reply::Close}});
            const std::string address = server.address().value;
            const std::string exported = writeFile("exported", "");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                broken, exitUnreachable, run({"export", "--server", address, "--file", exported}));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                broken,
                exitUnknown,
                run({"drain", "--server", address, "--token-file", m_tokenFile}));
        }
    }

    // Guards against an event that is printed before its cause on another host.
    void mergesTimelinesByHybridTime()
    {
        test::fake_control_plane otherPlane;
        auto other
            = console::console_server::start(core::endpoint{"127.0.0.1:0"}, token, otherPlane);
        const std::string otherAddress = absl::StrCat("127.0.0.1:", core::valueIn(other)->port());
        m_plane.timeline = eventLine("a", 10, 0) + eventLine("c", 10, 2);
        otherPlane.timeline = eventLine("b", 10, 1) + eventLine("d", 11, 0);
        CPPUNIT_ASSERT_EQUAL(
            exitDone,
            run({"timeline", "--server", otherAddress, "--server", m_address, "--output", "json"}));
        CPPUNIT_ASSERT_EQUAL(eventLine("a", 10, 0) + eventLine("b", 10, 1) + eventLine("c", 10, 2)
                                 + eventLine("d", 11, 0),
                             m_out);
        core::valueIn(std::move(other)).reset();
        CPPUNIT_ASSERT_EQUAL(exitUnreachable,
                             run({"timeline", "--server", otherAddress, "--server", m_address}));
        assertContains(m_out, "1970-01-01T00:00:00.00001Z+0 level=info event=a");
    }

    // Guards against a drain or init that was refused but is reported as done.
    void controlCommandsUseTheToken()
    {
        CPPUNIT_ASSERT_EQUAL(exitDone,
                             run({"drain", "--server", m_address, "--token-file", m_tokenFile}));
        CPPUNIT_ASSERT(m_plane.drained);
        m_plane.initOutcome
            = core::error{core::error_code::InvalidArgument, "init", "", "already initialised"};
        CPPUNIT_ASSERT_EQUAL(exitRefused,
                             run({"init", "--server", m_address, "--token-file", m_tokenFile}));
        assertContains(m_out, "already initialised");
        CPPUNIT_ASSERT_EQUAL(exitUsage, run({"drain", "--server", m_address}));
    }

    // Guards against a value that is printed under the name of another field.
    void printsReadsAsTextAndJson()
    {
        m_plane.reportedStatus.host.value = "host-1";
        CPPUNIT_ASSERT_EQUAL(exitDone, run({"status", "--server", m_address}));
        assertContains(m_out, "host: host-1\n");
        document::move_state move;
        move.request.service.value = "quotes";
        move.phase = document::move_phase::Reverted;
        m_plane.moveStates = {move};
        CPPUNIT_ASSERT_EQUAL(exitDone, run({"moves", "--server", m_address}));
        assertContains(m_out, "service: quotes\n");
        assertContains(m_out, "phase: reverted\n");
        CPPUNIT_ASSERT_EQUAL(exitDone, run({"moves", "--server", m_address, "--output", "json"}));
        assertContains(m_out, "\"phase\": \"reverted\"");
    }

    // Guards against a mistyped command line that runs a command other than the intended one.
    void refusesWrongUsage()
    {
        CPPUNIT_ASSERT_EQUAL(exitDone, run({"--help"}));
        assertContains(m_out, "Examples:");
        for (const std::vector<std::string> &arguments : std::vector<std::vector<std::string>>{
                 {},
                 {"explode"},
                 {"status"},
                 {"status", "--servers", m_address},
                 {"apply", "--server", m_address},
                 {"diff", m_document},
                 {"status", "--server", m_address, "--output", "xml"},
                 {"status", "--server", m_address, "--timeout", "5"},
                 {"apply", "--file", m_document, "--server", m_address},
                 {"apply",
                  "--file",
                  m_document,
                  "--server",
                  m_address,
                  "--token-file",
                  m_tokenFile,
                  "--expect",
                  "7"}}) {
            CPPUNIT_ASSERT_EQUAL(exitUsage, run(arguments));
        }
        CPPUNIT_ASSERT(m_plane.submissions.empty());
    }

private:
    static std::string
    eventLine(const std::string &name, std::int64_t micros, std::uint32_t counter)
    {
        return observe::toJsonLine(
                   observe::event_builder(name, core::hybrid_time{micros, counter}).build())
            + "\n";
    }

    std::string writeFile(const std::string &name, const std::string &text)
    {
        std::string path = absl::StrCat(m_prefix, ".", name);
        std::ofstream(path, std::ios::binary) << text;
        m_files.push_back(path);
        return path;
    }

    int run(const std::vector<std::string> &arguments)
    {
        std::ostringstream out;
        std::ostringstream err;
        const int exitCode = runCommand(arguments, out, err);
        m_out = out.str();
        m_err = err.str();
        return exitCode;
    }

    int apply(const std::vector<std::string> &more)
    {
        std::vector<std::string> arguments{
            "apply", "--file", m_document, "--server", m_address, "--token-file", m_tokenFile};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return run(arguments);
    }

    test::fake_control_plane m_plane;
    std::unique_ptr<console::console_server> m_server;
    std::string m_prefix;
    std::string m_document;
    std::string m_tokenFile;
    std::string m_address;
    std::vector<std::string> m_files;
    std::string m_out;
    std::string m_err;
};

CPPUNIT_TEST_SUITE_REGISTRATION(cli_test);

} // namespace jackdawweir::cli
