// The daemon process: runs a node and, if the settings have a source section, a source.

#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include <curl/curl.h>
#include <cxxopts.hpp>

#include "daemon/node.h"
#include "daemon/operator_plane.h"
#include "daemon/process_context.h"
#include "daemon/source_host.h"
#include "jackdawweir/console/server.h"
#include "jackdawweir/core/signals.h"
#include "jackdawweir/observe/log.h"
#include "jackdawweir/settings/settings.h"

namespace jackdawweir::daemon {
namespace {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
// The shutdown timeout expired, or a second signal arrived, while requests were in flight.
constexpr int exitRequestsCut = 5;

// Blocks SIGTERM and SIGINT in this thread and all threads that it starts, so that sigwait receives
// them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int fail(const core::error &failure)
{
    std::cerr << "jackdawweird: " << core::toString(failure) << '\n';
    return exitFailure;
}

// Ends the process immediately on a second signal and logs how many requests were in flight.
void exitOnSecondSignal(process_context &context, node &localNode, sigset_t signals)
{
    int received = 0;
    sigwait(&signals, &received);
    context.record(context.event("shutdown-cut")
                       .level(observe::log_level::Warning)
                       .step("second-signal")
                       .field("requests", std::to_string(localNode.requestsInFlight()))
                       .build());
    observe::stopLogging();
    _exit(exitRequestsCut);
}

int shutDown(process_context &context,
             node &localNode,
             source_host *source,
             const sigset_t &signals)
{
    context.record(context.event("shutdown-begun").step("signal").build());
    std::thread(exitOnSecondSignal, std::ref(context), std::ref(localNode), signals).detach();
    const std::size_t cut = localNode.shutDown();
    if (source != nullptr) {
        source->shutDown();
    }
    context.record(context.event("shutdown-done")
                       .step("stop")
                       .field("requests-cut", std::to_string(cut))
                       .build());
    observe::stopLogging();
    return cut == 0 ? exitSuccess : exitRequestsCut;
}

int serve(settings::daemon_settings daemonSettings, const std::string &token)
{
    const sigset_t signals = blockStopSignals();
    const auto context = std::make_unique<process_context>(std::move(daemonSettings));
    const auto localNode = std::make_unique<node>(*context);
    std::unique_ptr<source_host> source;
    if (context->settings.source) {
        source = std::make_unique<source_host>(*context);
        const core::status started = source->start();
        if (const core::error *failure = core::errorIn(started)) {
            return fail(*failure);
        }
    }
    const core::status started = localNode->start();
    if (const core::error *failure = core::errorIn(started)) {
        return fail(*failure);
    }
    operator_plane plane(*context, *localNode, source.get(), [] { kill(getpid(), SIGTERM); });
    core::result<std::unique_ptr<console::console_server>> console
        = console::console_server::start(context->settings.operators, token, plane);
    if (const core::error *failure = core::errorIn(console)) {
        return fail(*failure);
    }
    context->record(context->event("started")
                        .step("start")
                        .field("callers", context->settings.callers.value)
                        .build());
    int received = 0;
    sigwait(&signals, &received);
    std::get<0>(console).reset();
    return shutDown(*context, *localNode, source.get(), signals);
}

int run(const std::string &path)
{
    core::result<settings::daemon_settings> daemonSettings = settings::readSettings(path);
    if (const core::error *failure = core::errorIn(daemonSettings)) {
        std::cerr << failure->message << '\n';
        return settings::exitCodeForSettings;
    }
    const core::result<std::string> token
        = settings::readOperatorToken(core::valueIn(daemonSettings).operatorTokenFile);
    if (const core::error *failure = core::errorIn(token)) {
        std::cerr << failure->message << '\n';
        return settings::exitCodeForSettings;
    }
    observe::log_settings logSettings;
    logSettings.level = core::valueIn(daemonSettings).logLevel;
    const core::status logging = observe::startLogging(logSettings);
    if (const core::error *failure = core::errorIn(logging)) {
        return fail(*failure);
    }
    return serve(core::valueIn(std::move(daemonSettings)), core::valueIn(token));
}

} // namespace
} // namespace jackdawweir::daemon

int main(int argc, char **argv)
{
    using namespace jackdawweir::daemon;
    jackdawweir::core::ignoreWriteSignals();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    cxxopts::Options options("jackdawweird",
                             "Runs a node and, where the settings say so, a source");
    options.add_options()("settings", "Settings file", cxxopts::value<std::string>())(
        "help", "Print this text");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help()
                      << "\nExample: jackdawweird --settings /etc/jackdawweir/host-1.yaml\n";
            return 0;
        }
        return run(arguments["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &failure) {
        std::cerr << "jackdawweird: " << failure.what() << '\n';
        return exitUsage;
    }
}
