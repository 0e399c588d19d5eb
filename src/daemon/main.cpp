// The daemon: a node and, on hosts whose settings say so, a source.

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
#include "jackdawweir/observe/log.h"
#include "jackdawweir/settings/settings.h"

namespace jackdawweir::daemon {
namespace {

constexpr int exitDone = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
// The shutdown timeout ended, or a second signal came, while requests were in flight.
constexpr int exitCutOff = 5;

// SIGTERM and SIGINT, blocked in every thread and taken by sigwait.
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
    return exitFailed;
}

// Ends the process at once when a second signal comes, and says what that cut off.
void endOnSecondSignal(process_context &context, node &own, sigset_t signals)
{
    int received = 0;
    sigwait(&signals, &received);
    context.record(context.event("shutdown-cut")
                       .level(observe::log_level::Warning)
                       .step("second-signal")
                       .field("requests", std::to_string(own.requestsInFlight()))
                       .build());
    observe::stopLogging();
    _exit(exitCutOff);
}

int shutDown(process_context &context, node &own, source_host *source, const sigset_t &signals)
{
    context.record(context.event("shutdown-begun").step("signal").build());
    std::thread(endOnSecondSignal, std::ref(context), std::ref(own), signals).detach();
    const std::size_t cut = own.shutDown();
    if (source != nullptr) {
        source->shutDown();
    }
    context.record(context.event("shutdown-done")
                       .step("stop")
                       .field("requests-cut", std::to_string(cut))
                       .build());
    observe::stopLogging();
    return cut == 0 ? exitDone : exitCutOff;
}

int serve(settings::daemon_settings read, const std::string &token)
{
    const sigset_t signals = blockStopSignals();
    const auto context = std::make_unique<process_context>(std::move(read));
    const auto own = std::make_unique<node>(*context);
    std::unique_ptr<source_host> source;
    if (context->settings.source) {
        source = std::make_unique<source_host>(*context);
        const core::status started = source->start();
        if (const core::error *failure = core::errorIn(started)) {
            return fail(*failure);
        }
    }
    const core::status started = own->start();
    if (const core::error *failure = core::errorIn(started)) {
        return fail(*failure);
    }
    operator_plane plane(*context, *own, source.get(), [] { kill(getpid(), SIGTERM); });
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
    return shutDown(*context, *own, source.get(), signals);
}

int run(const std::string &path)
{
    core::result<settings::daemon_settings> read = settings::readSettings(path);
    if (const core::error *failure = core::errorIn(read)) {
        std::cerr << failure->message << '\n';
        return settings::exitCodeForSettings;
    }
    const core::result<std::string> token
        = settings::readOperatorToken(core::valueIn(read).operatorTokenFile);
    if (const core::error *failure = core::errorIn(token)) {
        std::cerr << failure->message << '\n';
        return settings::exitCodeForSettings;
    }
    observe::log_settings logged;
    logged.level = core::valueIn(read).logLevel;
    const core::status logging = observe::startLogging(logged);
    if (const core::error *failure = core::errorIn(logging)) {
        return fail(*failure);
    }
    return serve(core::valueIn(std::move(read)), core::valueIn(token));
}

} // namespace
} // namespace jackdawweir::daemon

int main(int argc, char **argv)
{
    using namespace jackdawweir::daemon;
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
