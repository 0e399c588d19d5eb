// Tests how a source completes the calls that it forwards to the leader. The test acts as the
// leader, over real links.

#include "jackdawweir/mesh/source.h"

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/agreement/message.h"
#include "jackdawweir/transport/mesh_transport.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

const core::endpoint sourceEndpoint{"127.0.41.1:17441"};
const core::endpoint leaderEndpoint{"127.0.41.2:17441"};

// Records the calls that arrive, and sends only what the test tells it to.
class scripted_leader
{
public:
    scripted_leader()
        : m_transport(m_context,
                      leaderEndpoint,
                      m_clock,
                      m_hybridClock,
                      [this](const transport::received_message &received) { record(received); })
    {
        CPPUNIT_ASSERT(core::isOk(m_transport.start()));
    }

    void run()
    {
        m_context.poll();
    }

    // Makes the source follow this leader.
    void sendHeartbeat()
    {
        agreement::append_request heartbeat;
        heartbeat.header.from.value = 1;
        heartbeat.header.fromAddress = leaderEndpoint;
        heartbeat.header.bootCount = 1;
        heartbeat.header.term = 1;
        m_transport.send(
            sourceEndpoint, wire::channel::Agreement, wire::encode(agreement::message(heartbeat)));
    }

    void reply(const fleet::message &sent)
    {
        m_transport.send(sourceEndpoint, wire::channel::Fleet, wire::encode(sent));
    }

    // The numbers of the commands and reads, in the order in which they arrived.
    std::vector<std::uint64_t> commands;
    std::vector<std::uint64_t> reads;

private:
    void record(const transport::received_message &received)
    {
        if (received.target != wire::channel::Fleet) {
            return;
        }
        const auto decoded = wire::decode<fleet::message>(received.payload, received.from);
        const fleet::message &body = core::valueIn(decoded);
        if (const auto *command = std::get_if<fleet::command_request>(&body)) {
            commands.push_back(command->number);
        } else if (const auto *read = std::get_if<fleet::view_request>(&body)) {
            reads.push_back(read->number);
        }
    }

    boost::asio::io_context m_context{1};
    core::system_clock_source m_clock;
    core::hybrid_clock m_hybridClock;
    transport::mesh_transport m_transport;
};

// One start of the source.
struct started_source {
    explicit started_source(const mesh_settings &settings)
        : context(settings)
        , subject(context)
    {
        CPPUNIT_ASSERT(core::isOk(subject.start()));
    }

    process_context context;
    source subject;
};

policy::command changeTo(const std::string &host)
{
    policy::replace_policy change;
    change.policy.number = 1;
    change.policy.routes.emplace_back().host = host;
    return change;
}

fleet::command_reply replyTo(std::uint64_t call, policy::command_outcome outcome)
{
    policy::command_result result;
    result.outcome = outcome;
    return fleet::command_reply{call, result};
}

} // namespace

class source_calls_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(source_calls_test);
    CPPUNIT_TEST(acknowledgesNoChangeWithTheReplyToAChangeOfAnEarlierStart);
    CPPUNIT_TEST(completesNoReadWithTheReplyToAReadOfAnEarlierStart);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_folder = std::filesystem::temp_directory_path()
            / ("jackdawweir-source-calls-" + std::to_string(getpid()));
        m_settings.host.value = "source";
        m_settings.dataCentre.value = "a";
        m_settings.mesh = sourceEndpoint;
        m_settings.sources = {sourceEndpoint, leaderEndpoint};
        m_settings.source = source_settings{m_folder.string(), false};
        m_leader = std::make_unique<scripted_leader>();
        restart();
    }

    void tearDown() override
    {
        m_source.reset();
        m_leader.reset();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    // Guards against a change that is acknowledged but not in force.
    void acknowledgesNoChangeWithTheReplyToAChangeOfAnEarlierStart()
    {
        const std::uint64_t earlier = submit("first.example");
        restart();
        const std::uint64_t later = submit("second.example");

        m_leader->reply(replyTo(earlier, policy::command_outcome::Accepted));
        m_leader->reply(replyTo(later, policy::command_outcome::Conflict));
        runUntil([this] { return !m_isPending; });
        CPPUNIT_ASSERT(m_outcome == policy::command_outcome::Conflict);
    }

    // Guards against a read that returns an older configuration than one acknowledged before it.
    void completesNoReadWithTheReplyToAReadOfAnEarlierStart()
    {
        const std::uint64_t earlier = read();
        restart();
        const std::uint64_t later = read();

        // Revision 7 has not reached this source, so the later read must not return a view.
        m_leader->reply(fleet::view_reply{earlier, 0});
        m_leader->reply(fleet::view_reply{later, 7});
        runUntil([this] { return !m_isPending; });
        CPPUNIT_ASSERT(!m_hasView);
    }

private:
    // Starts the source, in place of the one that runs.
    void restart()
    {
        m_source.reset();
        m_isPending = false;
        m_source = std::make_unique<started_source>(m_settings);
    }

    // Submits a change. Returns the number under which it arrived at the leader.
    std::uint64_t submit(const std::string &host)
    {
        return awaitCall(m_leader->commands, [&] {
            m_source->subject.submitCommand(
                changeTo(host), [this](const std::optional<policy::command_result> &result) {
                    m_isPending = false;
                    m_outcome = result ? std::optional(result->outcome) : std::nullopt;
                });
        });
    }

    // Reads the configuration. Returns the number under which the read arrived at the leader.
    std::uint64_t read()
    {
        return awaitCall(m_leader->reads, [&] {
            m_source->subject.readView([this](const std::optional<policy::policy_view> &view) {
                m_isPending = false;
                m_hasView = view.has_value();
            });
        });
    }

    // Repeats the call while the source doesn't know its leader yet and completes it at once.
    std::uint64_t awaitCall(const std::vector<std::uint64_t> &arrived,
                            const std::function<void()> &call)
    {
        const std::size_t before = arrived.size();
        runUntil([&] {
            if (!m_isPending) {
                m_leader->sendHeartbeat();
                m_isPending = true;
                call();
            }
            return arrived.size() > before;
        });
        return arrived.back();
    }

    // Runs both sides until the condition holds. The bound only ends a failing test.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto bound = m_clock.monotonicNow() + std::chrono::seconds(10);
        while (!condition()) {
            CPPUNIT_ASSERT(m_clock.monotonicNow() < bound);
            m_leader->run();
            m_source->context.loop.run_for(milliseconds(1));
        }
    }

    std::filesystem::path m_folder;
    mesh_settings m_settings;
    core::system_clock_source m_clock;
    std::unique_ptr<scripted_leader> m_leader;
    std::unique_ptr<started_source> m_source;
    // Whether the latest call has not been completed yet, and what it was completed with.
    bool m_isPending = false;
    std::optional<policy::command_outcome> m_outcome;
    bool m_hasView = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_calls_test);

} // namespace jackdawweir::mesh
