#include "jackdawweir/mesh/program.h"

#include <csignal>
#include <iostream>
#include <optional>
#include <utility>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "jackdawweir/http/status.h"
#include "jackdawweir/mesh/caller_port.h"
#include "jackdawweir/mesh/process.h"
#include "jackdawweir/mesh/shutdown_plan.h"
#include "jackdawweir/observe/log.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

constexpr const char *metricsPath = "/metrics";

constexpr milliseconds settingsCheckInterval{1'000};
constexpr milliseconds shutdownStep{50};

// A source answers each operator's call that it took within a second, after which the operator has
// moved on.
constexpr milliseconds sourceShutdown{1'500};

class program
{
public:
    program(const std::string &settingsPath, mesh_settings read, const outside_interface &outside);

    int run();

private:
    core::status start();
    core::status startNode();
    core::status startSource();
    core::status listen(std::unique_ptr<http::listener> &port,
                        const core::endpoint &address,
                        http::exchange_handler handler);
    void awaitSignal();
    void handleSignal(int signal);
    void checkSettingsFile();
    void reload(const char *cause);
    void beginShutdown();
    void continueShutdown();
    void end(int code);
    std::size_t openRequests() const;
    void answerReadiness(http::exchange &open) const;
    void answerMetrics(http::exchange &open);

    std::string m_settingsPath;
    const outside_interface &m_outside;
    process m_process;
    std::optional<node> m_node;
    std::optional<source> m_source;
    std::optional<caller_port> m_callers;
    std::unique_ptr<http::listener> m_readiness;
    std::unique_ptr<http::listener> m_operators;
    std::unique_ptr<http::listener> m_metrics;
    boost::asio::signal_set m_signals;
    std::optional<core::monotonic_time> m_stoppedAt;
    // The text of the settings file at the last check.
    std::string m_settingsText;
    int m_exitCode = exitDone;
};

program::program(const std::string &settingsPath,
                 mesh_settings read,
                 const outside_interface &outside)
    : m_settingsPath(settingsPath)
    , m_outside(outside)
    , m_process(std::move(read))
    , m_signals(m_process.loop, SIGTERM, SIGINT, SIGHUP)
{
}

int program::run()
{
    awaitSignal();
    const core::status started = start();
    if (const core::error *failure = core::errorIn(started)) {
        m_process.recordError("start-failed", *failure);
        observe::stopLogging();
        std::cerr << "jackdawweir: " << core::toString(*failure) << '\n';
        return exitFailed;
    }
    m_process.record(m_process.event("started")
                         .step("start")
                         .field("role", m_node ? "node" : "source")
                         .field("mesh", m_process.settings.mesh.value)
                         .build());
    m_process.every(settingsCheckInterval, [this] { checkSettingsFile(); });
    m_process.loop.run();
    m_process.record(m_process.event("stopped")
                         .step("stop")
                         .field("exit-code", std::to_string(m_exitCode))
                         .build());
    observe::stopLogging();
    return m_exitCode;
}

core::status program::start()
{
    core::status started = m_process.settings.node ? startNode() : startSource();
    if (core::errorIn(started) == nullptr && !m_process.settings.metrics.empty()) {
        started = listen(m_metrics, m_process.settings.metrics, [this](const auto &open) {
            answerMetrics(*open);
        });
    }
    return started;
}

void program::answerMetrics(http::exchange &open)
{
    if (open.received().target != metricsPath) {
        open.respond(http::response{http::status::notFound, {}, "", false});
        return;
    }
    if (m_node) {
        m_node->measure();
    } else {
        m_source->measure();
    }
    m_process.counted.setDroppedLogLines(observe::droppedLogLines());
    open.respond(http::response{http::status::ok,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                m_process.counted.toText(),
                                false});
}

core::status program::startNode()
{
    m_node.emplace(m_process, m_outside.headers);
    m_callers.emplace(m_process, *m_node, m_outside.headers);
    core::status started = m_node->start();
    if (core::errorIn(started) == nullptr) {
        started = m_callers->start();
    }
    if (core::errorIn(started) == nullptr) {
        started = listen(m_readiness, m_process.settings.node->readiness, [this](const auto &open) {
            answerReadiness(*open);
        });
    }
    if (core::errorIn(started) == nullptr) {
        started = listen(m_operators, m_process.settings.operators, [this](const auto &open) {
            m_outside.serverCall(open, *m_node);
        });
    }
    return started;
}

core::status program::startSource()
{
    m_source.emplace(m_process);
    core::status started = m_source->start();
    if (core::errorIn(started) == nullptr) {
        started = listen(m_operators, m_process.settings.operators, [this](const auto &open) {
            if (m_stoppedAt) {
                // It could not be answered before the end; another source can.
                open->respond(http::response{http::status::unavailable, {}, "", true});
                return;
            }
            m_outside.operatorCall(open, *m_source);
        });
    }
    return started;
}

core::status program::listen(std::unique_ptr<http::listener> &port,
                             const core::endpoint &address,
                             http::exchange_handler handler)
{
    port = std::make_unique<http::listener>(
        m_process.loop, http::listener_settings{}, std::move(handler));
    return port->start(address);
}

void program::answerReadiness(http::exchange &open) const
{
    if (open.received().target != m_outside.readinessPath) {
        open.respond(http::response{http::status::notFound, {}, "", false});
        return;
    }
    open.respond(http::response{
        m_node->isReady() ? http::status::ok : http::status::unavailable, {}, "", false});
}

void program::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &failure, int signal) {
        if (!failure) {
            handleSignal(signal);
            awaitSignal();
        }
    });
}

void program::handleSignal(int signal)
{
    if (signal == SIGHUP) {
        reload("signal");
    } else if (!m_stoppedAt) {
        beginShutdown();
    }
}

// Compares the text first, since parsing it at each check would be most of a resting node's work,
// and a file that is refused is reported once.
void program::checkSettingsFile()
{
    const core::result<std::string> read = readSettingsText(m_settingsPath);
    if (const core::error *failure = core::errorIn(read)) {
        m_process.recordError("settings-refused", *failure);
    } else if (core::valueIn(read) != m_settingsText) {
        m_settingsText = core::valueIn(read);
        reload("file");
    }
}

// Settings that name addresses of this process hold from the next start on.
void program::reload(const char *cause)
{
    core::result<mesh_settings> read = readMeshSettings(m_settingsPath);
    if (const core::error *failure = core::errorIn(read)) {
        m_process.recordError("settings-refused", *failure);
        return;
    }
    if (core::valueIn(read) == m_process.settings) {
        return;
    }
    m_process.settings = core::valueIn(std::move(read));
    m_process.record(
        m_process.event("settings-in-force").step("reload").field("cause", cause).build());
    if (m_node) {
        m_node->applySettings();
    } else {
        m_source->applySettings();
    }
}

void program::beginShutdown()
{
    m_stoppedAt = m_process.now();
    m_process.record(m_process.event("shutdown-begun")
                         .step("signal")
                         .field("requests", std::to_string(openRequests()))
                         .build());
    if (m_node) {
        m_node->beginLeaving();
    }
    m_process.every(shutdownStep, [this] { continueShutdown(); });
}

std::size_t program::openRequests() const
{
    return m_node ? m_node->openRequests() + m_callers->openRequests()
                  : m_operators->openRequests();
}

void program::continueShutdown()
{
    const std::chrono::nanoseconds elapsed = m_process.now() - *m_stoppedAt;
    const std::size_t open = openRequests();
    if (!m_node) {
        if (open == 0 || elapsed >= sourceShutdown) {
            end(open == 0 ? exitDone : exitCutOff);
        }
        return;
    }
    const shutdown_step step = shutdown_plan(m_process.settings.shutdownTimeout).at(elapsed, open);
    if (step.refuses) {
        m_node->refuseCallers();
    }
    if (step.drains) {
        m_callers->drain();
    }
    if (step.ends) {
        end(step.cutsOff ? exitCutOff : exitDone);
    }
}

void program::end(int code)
{
    m_exitCode = code;
    if (code == exitCutOff) {
        m_process.record(m_process.event("shutdown-cut")
                             .level(observe::log_level::Warning)
                             .step("stop")
                             .field("requests", std::to_string(openRequests()))
                             .build());
    }
    m_process.loop.stop();
}

} // namespace

int runMesh(const std::string &settingsPath, const outside_interface &outside)
{
    std::signal(SIGPIPE, SIG_IGN);
    core::result<mesh_settings> read = readMeshSettings(settingsPath);
    if (const core::error *failure = core::errorIn(read)) {
        std::cerr << failure->message << '\n';
        return exitUsage;
    }
    observe::log_settings logging;
    logging.level = core::valueIn(read).logLevel;
    logging.isQueued = true;
    logging.destination = observe::log_destination::StandardOutput;
    const core::status logs = observe::startLogging(logging);
    if (const core::error *failure = core::errorIn(logs)) {
        std::cerr << failure->message << '\n';
        return exitFailed;
    }
    program own(settingsPath, core::valueIn(std::move(read)), outside);
    return own.run();
}

} // namespace jackdawweir::mesh
