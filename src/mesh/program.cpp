#include "jackdawweir/mesh/program.h"

#include <malloc.h>

#include <iostream>
#include <optional>
#include <random>
#include <utility>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "jackdawweir/core/signals.h"
#include "jackdawweir/http/status.h"
#include "jackdawweir/mesh/caller_listener.h"
#include "jackdawweir/mesh/process_address.h"
#include "jackdawweir/mesh/process_context.h"
#include "jackdawweir/mesh/shutdown_plan.h"
#include "jackdawweir/observe/log.h"

namespace jackdawweir::mesh {

namespace {

using std::chrono::milliseconds;

constexpr const char *metricsPath = "/metrics";

// The platform's checks and the collection of metrics need a few connections.
constexpr std::size_t maxObserverConnections = 32;

constexpr milliseconds settingsCheckInterval{1'000};
constexpr milliseconds shutdownCheckInterval{50};

// A source answers each operator's call that it has accepted within a second, after which the
// operator no longer waits.
constexpr milliseconds sourceShutdownTimeout{1'500};

class program
{
public:
    program(const std::string &settingsPath,
            mesh_settings initialSettings,
            const external_interface &external);

    int run();

private:
    core::status start();
    core::status startNode();
    core::status listenForServers();
    void listenAtProcessAddress();
    core::status startSource();
    core::status listen(std::unique_ptr<http::listener> &newListener,
                        const core::endpoint &address,
                        std::size_t maxConnections,
                        http::exchange_handler handler);
    void awaitSignal();
    void handleSignal(int signal);
    void checkSettingsFile();
    void reload(const char *cause);
    void beginShutdown();
    void continueShutdown();
    void end(int code);
    std::size_t openRequests() const;
    void answerReadiness(http::exchange &call) const;
    void answerMetrics(http::exchange &call);
    void answerOperator(const std::shared_ptr<http::exchange> &call);

    std::string m_settingsPath;
    const external_interface &m_external;
    process_context m_context;
    std::optional<node> m_node;
    std::optional<source> m_source;
    std::optional<caller_listener> m_callerListener;
    std::unique_ptr<http::listener> m_readinessListener;
    std::unique_ptr<http::listener> m_operatorListener;
    std::unique_ptr<http::listener> m_processListener;
    std::unique_ptr<http::listener> m_metricsListener;
    boost::asio::signal_set m_signals;
    std::optional<core::monotonic_time> m_stopRequestedAt;
    // The text of the settings file at the last check.
    std::string m_settingsText;
    int m_exitCode = exitSuccess;
};

program::program(const std::string &settingsPath,
                 mesh_settings initialSettings,
                 const external_interface &external)
    : m_settingsPath(settingsPath)
    , m_external(external)
    , m_context(std::move(initialSettings))
    , m_signals(m_context.loop, SIGTERM, SIGINT, SIGHUP)
{
}

int program::run()
{
    awaitSignal();
    const core::status started = start();
    if (const core::error *failure = core::errorIn(started)) {
        m_context.recordError("start-failed", *failure);
        observe::stopLogging();
        std::cerr << "jackdawweir: " << core::toString(*failure) << '\n';
        return exitFailure;
    }
    m_context.record(m_context.event("started")
                         .step("start")
                         .field("role", m_node ? "node" : "source")
                         .field("mesh", m_context.settings.mesh.value)
                         .build());
    m_context.runEvery(settingsCheckInterval, [this] { checkSettingsFile(); });
    m_context.loop.run();
    m_context.record(m_context.event("stopped")
                         .step("stop")
                         .field("exit-code", std::to_string(m_exitCode))
                         .build());
    observe::stopLogging();
    return m_exitCode;
}

core::status program::start()
{
    core::status started = m_context.settings.node ? startNode() : startSource();
    if (core::errorIn(started) == nullptr && !m_context.settings.metrics.empty()) {
        started = listen(m_metricsListener,
                         m_context.settings.metrics,
                         maxObserverConnections,
                         [this](const auto &call) { answerMetrics(*call); });
    }
    return started;
}

void program::answerMetrics(http::exchange &call)
{
    if (call.received().target != metricsPath) {
        call.respond(http::response{http::status::notFound, {}, "", false});
        return;
    }
    if (m_node) {
        m_node->updateGauges();
    } else {
        m_source->updateGauges();
    }
    m_context.processMetrics.setHeldMemory(*m_context.memory);
    m_context.processMetrics.setDroppedLogLines(observe::droppedLogLines());
    call.respond(http::response{http::status::ok,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                m_context.processMetrics.toText(),
                                false});
}

core::status program::startNode()
{
    m_node.emplace(m_context, m_external.headers);
    m_callerListener.emplace(m_context, *m_node, m_external.headers);
    core::status started = m_node->start();
    if (core::errorIn(started) == nullptr) {
        started = m_callerListener->start();
    }
    if (core::errorIn(started) == nullptr) {
        started = listen(m_readinessListener,
                         m_context.settings.node->readiness,
                         maxObserverConnections,
                         [this](const auto &call) { answerReadiness(*call); });
    }
    return core::errorIn(started) == nullptr ? listenForServers() : started;
}

core::status program::listenForServers()
{
    core::status started
        = listen(m_operatorListener,
                 m_context.settings.operators,
                 m_context.settings.callerBounds.controlConnections,
                 [this](const auto &call) {
                     m_external.handleServerCall(call, *m_node, server_call_address::Configured);
                 });
    if (core::errorIn(started) == nullptr) {
        listenAtProcessAddress();
    }
    return started;
}

// Without this address the node serves all the same: servers whose announcements are held back are
// then listed once their departures must be known.
void program::listenAtProcessAddress()
{
    const auto operators = transport::parseEndpoint(m_context.settings.operators);
    if (core::errorIn(operators) != nullptr) {
        return;
    }
    core::random_engine engine{std::random_device()()};
    const core::endpoint address = drawProcessAddress(engine, core::valueIn(operators).port());
    const core::status started
        = listen(m_processListener,
                 address,
                 m_context.settings.callerBounds.controlConnections,
                 [this](const auto &call) {
                     m_external.handleServerCall(call, *m_node, server_call_address::OfProcess);
                 });
    if (const core::error *failure = core::errorIn(started)) {
        m_context.recordError("process-address-unavailable", *failure);
        m_processListener.reset();
        return;
    }
    m_node->setProcessAddress(address);
}

core::status program::startSource()
{
    m_source.emplace(m_context);
    core::status started = m_source->start();
    if (core::errorIn(started) == nullptr) {
        started = listen(m_operatorListener,
                         m_context.settings.operators,
                         m_context.settings.callerBounds.controlConnections,
                         [this](const auto &call) { answerOperator(call); });
    }
    return started;
}

void program::answerOperator(const std::shared_ptr<http::exchange> &call)
{
    if (m_stopRequestedAt) {
        // The call could not be answered before the process ends; another source can answer it.
        call->respond(http::response{http::status::unavailable, {}, "", true});
        return;
    }
    m_external.handleOperatorCall(call, *m_source);
}

core::status program::listen(std::unique_ptr<http::listener> &newListener,
                             const core::endpoint &address,
                             std::size_t maxConnections,
                             http::exchange_handler handler)
{
    newListener = std::make_unique<http::listener>(
        m_context.loop, m_context.listenerSettings(maxConnections), std::move(handler));
    return newListener->start(address);
}

void program::answerReadiness(http::exchange &call) const
{
    if (call.received().target != m_external.readinessPath) {
        call.respond(http::response{http::status::notFound, {}, "", false});
        return;
    }
    call.respond(http::response{
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
    } else if (!m_stopRequestedAt) {
        beginShutdown();
    }
}

// Compares the text before parsing it: parsing at each check would be most of the work of an idle
// node, and an invalid file is reported only once.
void program::checkSettingsFile()
{
    const core::result<std::string> read = readSettingsText(m_settingsPath);
    if (const core::error *failure = core::errorIn(read)) {
        m_context.recordError("settings-refused", *failure);
    } else if (core::valueIn(read) != m_settingsText) {
        m_settingsText = core::valueIn(read);
        reload("file");
    }
}

// Changed addresses of this process take effect only when it is started again.
void program::reload(const char *cause)
{
    core::result<mesh_settings> read = readMeshSettings(m_settingsPath);
    if (const core::error *failure = core::errorIn(read)) {
        m_context.recordError("settings-refused", *failure);
        return;
    }
    if (core::valueIn(read) == m_context.settings) {
        return;
    }
    m_context.settings = core::valueIn(std::move(read));
    m_context.record(
        m_context.event("settings-in-force").step("reload").field("cause", cause).build());
    if (m_node) {
        m_node->applySettings();
    } else {
        m_source->applySettings();
    }
}

void program::beginShutdown()
{
    m_stopRequestedAt = m_context.now();
    m_context.record(m_context.event("shutdown-begun")
                         .step("signal")
                         .field("requests", std::to_string(openRequests()))
                         .build());
    if (m_node) {
        m_node->beginLeaving();
    }
    m_context.runEvery(shutdownCheckInterval, [this] { continueShutdown(); });
}

std::size_t program::openRequests() const
{
    return m_node ? m_node->openRequests() + m_callerListener->openRequests()
                  : m_operatorListener->openRequests();
}

void program::continueShutdown()
{
    const std::chrono::nanoseconds elapsed = m_context.now() - *m_stopRequestedAt;
    const std::size_t openCount = openRequests();
    if (!m_node) {
        if (openCount == 0 || elapsed >= sourceShutdownTimeout) {
            end(openCount == 0 ? exitSuccess : exitRequestsCutOff);
        }
        return;
    }
    const shutdown_step step
        = shutdown_plan(m_context.settings.shutdownTimeout).at(elapsed, openCount);
    if (step.refuses) {
        m_node->refuseCallers();
    }
    if (step.recalls) {
        m_node->recallRequests();
    }
    if (step.drains) {
        m_callerListener->drain();
    }
    if (step.ends) {
        end(step.cutsOff ? exitRequestsCutOff : exitSuccess);
    }
}

void program::end(int code)
{
    m_exitCode = code;
    if (code == exitRequestsCutOff) {
        m_context.record(m_context.event("shutdown-cut")
                             .level(observe::log_level::Warning)
                             .step("stop")
                             .field("requests", std::to_string(openRequests()))
                             .build());
    }
    m_context.loop.stop();
}

// Large buffers get pages of their own, which return to the system once they are released. By
// default a released buffer raises the threshold, so that later ones fragment the heap.
void keepLargeBuffersOutOfTheHeap()
{
    constexpr int thresholdBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, thresholdBytes);
}

} // namespace

int runMesh(const std::string &settingsPath, const external_interface &external)
{
    core::ignoreWriteSignals();
    keepLargeBuffersOutOfTheHeap();
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
        return exitFailure;
    }
    program meshProgram(settingsPath, core::valueIn(std::move(read)), external);
    return meshProgram.run();
}

} // namespace jackdawweir::mesh
