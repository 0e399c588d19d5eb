// Tests what a source that has started again makes of a rollout that was ordered before.

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/mesh/source.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::endpoint sourceEndpoint{"127.0.43.1:17443"};

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

} // namespace

class rollout_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollout_restart_test);
    CPPUNIT_TEST(countsTheTimeBeforeARestartTowardsARollout);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_folder = std::filesystem::temp_directory_path()
            / ("jackdawweir-rollout-restart-" + std::to_string(getpid()));
        m_settings.host.value = "source";
        m_settings.dataCentre.value = "a";
        m_settings.mesh = sourceEndpoint;
        m_settings.sources = {sourceEndpoint};
        m_settings.source = source_settings{m_folder.string(), true};
        restart();
    }

    void tearDown() override
    {
        m_source.reset();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    // Guards against a rollout that ends long after its deadline, since the source that leads
    // counts from its own start.
    void countsTheTimeBeforeARestartTowardsARollout()
    {
        policy::begin_rollout order;
        order.service.value = "service";
        order.target.value = "v2";
        order.duration = seconds(30);
        order.at = m_clock.wallNow() - seconds(60);
        submit(order);
        restart();
        runUntil([this] { return phase() == policy::rollout_phase::RolledBack; });
    }

private:
    // Starts the source, in place of the one that runs.
    void restart()
    {
        m_source.reset();
        m_source = std::make_unique<started_source>(m_settings);
    }

    // Repeats the command while the source doesn't lead yet.
    void submit(const policy::command &command)
    {
        std::optional<policy::command_outcome> outcome;
        bool isPending = false;
        runUntil([&] {
            if (!isPending && !outcome) {
                isPending = true;
                m_source->subject.submitCommand(
                    command, [&](const std::optional<policy::command_result> &result) {
                        isPending = false;
                        outcome = result ? std::optional(result->outcome) : std::nullopt;
                    });
            }
            return outcome.has_value();
        });
        CPPUNIT_ASSERT(outcome == policy::command_outcome::Accepted);
    }

    // Reads the phase of the rollout; absent while the source doesn't lead.
    std::optional<policy::rollout_phase> phase()
    {
        if (!m_isReading) {
            m_isReading = true;
            m_source->subject.readView([this](const std::optional<policy::policy_view> &view) {
                m_isReading = false;
                const bool hasRollout = view && !view->rollouts.empty();
                m_phase = hasRollout ? std::optional(view->rollouts.front().phase) : std::nullopt;
            });
        }
        return m_phase;
    }

    // Runs the source until the condition holds. The bound only ends a failing test.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto bound = m_clock.monotonicNow() + seconds(10);
        while (!condition()) {
            CPPUNIT_ASSERT(m_clock.monotonicNow() < bound);
            m_source->context.loop.run_for(milliseconds(1));
        }
    }

    std::filesystem::path m_folder;
    mesh_settings m_settings;
    core::system_clock_source m_clock;
    std::unique_ptr<started_source> m_source;
    bool m_isReading = false;
    std::optional<policy::rollout_phase> m_phase;
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_restart_test);

} // namespace jackdawweir::mesh
