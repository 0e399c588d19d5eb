// A stand-in backend server for the demo, the process tests and the load bench. It announces
// itself, echoes the request id, counts how often each request key ran, and injects the faults
// given on its command line.

#include <pthread.h>
#include <signal.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <cxxopts.hpp>

#include <absl/strings/str_cat.h>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/proxy/http_listener.h"
#include "samples/stand_in_server/announcer.h"
#include "samples/stand_in_server/fault_plan.h"

namespace jackdawweir::stand_in {
namespace {

constexpr const char *requestIdHeader = "Jackdawweir-Request-Id";
constexpr const char *requestKeyHeader = "Jackdawweir-Request-Key";
constexpr const char *runsPath = "/stand-in/runs";
constexpr std::chrono::milliseconds drainTimeout{10'000};

// Answers requests and injects faults according to a fault plan. Thread-safe.
class stand_in_service
{
public:
    stand_in_service(std::string name, std::chrono::microseconds delay, fault_plan plan)
        : m_name(std::move(name))
        , m_delay(delay)
        , m_plan(std::move(plan))
        , m_startedAt(m_clock.monotonicNow())
    {
    }

    proxy::http_response answer(const proxy::http_request &request)
    {
        if (request.target == runsPath) {
            return runs();
        }
        const std::string id = proxy::findHeader(request.headers, requestIdHeader).value_or("");
        const fault injected = countRun(request);
        const bool slow = injected == fault::Slow;
        std::this_thread::sleep_for(m_delay + (slow ? m_plan.slowDelay : m_plan.slowDelay * 0));
        constexpr unsigned ok = 200;
        constexpr unsigned serverError = 500;
        proxy::http_response response;
        response.status = injected == fault::Error ? serverError : ok;
        const char *suffix = injected == fault::Crossed ? "-other" : "";
        response.headers.push_back({requestIdHeader, absl::StrCat(id, suffix)});
        response.body = absl::StrCat(m_name, " ", request.target, " ", id, "\n");
        return response;
    }

private:
    fault countRun(const proxy::http_request &request)
    {
        const std::lock_guard guard(m_mutex);
        if (const auto key = proxy::findHeader(request.headers, requestKeyHeader)) {
            ++m_runs[*key];
        }
        const auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_clock.monotonicNow() - m_startedAt);
        return chooseFault(m_plan, request.target, sinceStart, m_engine);
    }

    // Returns one line for each request key: the key and how often it ran.
    proxy::http_response runs()
    {
        const std::lock_guard guard(m_mutex);
        constexpr unsigned ok = 200;
        proxy::http_response response{ok, {}, {}};
        for (const auto &[key, count] : m_runs) {
            absl::StrAppend(&response.body, key, " ", count, "\n");
        }
        return response;
    }

    std::string m_name;
    std::chrono::microseconds m_delay;
    fault_plan m_plan;
    core::system_clock_source m_clock;
    core::monotonic_time m_startedAt;
    std::mutex m_mutex;
    core::random_engine m_engine{1};
    std::map<std::string, std::uint64_t> m_runs;
};

cxxopts::Options commandLine()
{
    cxxopts::Options options("jackdawweir-stand-in", "A stand-in backend server");
    auto add = options.add_options();
    add("service", "Service name", cxxopts::value<std::string>());
    add("version", "Backend server version", cxxopts::value<std::string>());
    add("address", "IP:PORT to serve on", cxxopts::value<std::string>());
    add("node", "Operators endpoint of the host's node", cxxopts::value<std::string>());
    add("slots",
        "Requests run at the same time",
        cxxopts::value<std::uint32_t>()->default_value("10"));
    add("connections", "Connections", cxxopts::value<std::uint32_t>()->default_value("130"));
    add("delay-us", "Microseconds of work", cxxopts::value<std::int64_t>()->default_value("0"));
    add("error-percent",
        "Responses with status 500",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("slow-percent", "Slow responses", cxxopts::value<std::uint32_t>()->default_value("0"));
    add("crossed-percent",
        "Responses with a wrong id",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("fault-prefix",
        "Path prefix that shows faults",
        cxxopts::value<std::string>()->default_value(""));
    add("fault-after-ms", "Faults begin after", cxxopts::value<std::int64_t>()->default_value("0"));
    add("help", "Print this text");
    return options;
}

fault_plan planFrom(const cxxopts::ParseResult &arguments)
{
    fault_plan plan;
    plan.errorPercent = arguments["error-percent"].as<std::uint32_t>();
    plan.slowPercent = arguments["slow-percent"].as<std::uint32_t>();
    plan.crossedPercent = arguments["crossed-percent"].as<std::uint32_t>();
    plan.pathPrefix = arguments["fault-prefix"].as<std::string>();
    plan.startDelay = std::chrono::milliseconds(arguments["fault-after-ms"].as<std::int64_t>());
    return plan;
}

membership::backend_server serverFrom(const cxxopts::ParseResult &arguments)
{
    membership::backend_server announced;
    announced.service.value = arguments["service"].as<std::string>();
    announced.version.value = arguments["version"].as<std::string>();
    announced.address.value = arguments["address"].as<std::string>();
    announced.slots = arguments["slots"].as<std::uint32_t>();
    announced.connections = arguments["connections"].as<std::uint32_t>();
    const auto sinceEpoch = core::system_clock_source().wallNow().time_since_epoch();
    announced.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
    return announced;
}

int serve(const cxxopts::ParseResult &arguments)
{
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);

    const membership::backend_server announced = serverFrom(arguments);
    stand_in_service service(absl::StrCat(announced.service.value, "/", announced.version.value),
                             std::chrono::microseconds(arguments["delay-us"].as<std::int64_t>()),
                             planFrom(arguments));
    proxy::http_listener listener(
        announced.address,
        [&service](const proxy::http_request &request) { return service.answer(request); });
    const core::status started = listener.start();
    if (const core::error *failure = core::errorIn(started)) {
        std::cerr << core::toString(*failure) << '\n';
        return 1;
    }
    announcer announcing(core::endpoint{arguments["node"].as<std::string>()}, announced);
    int received = 0;
    sigwait(&stopSignals, &received);
    announcing.withdraw();
    return listener.shutDown(drainTimeout) == 0 ? 0 : 1;
}

} // namespace
} // namespace jackdawweir::stand_in

int main(int argc, char **argv)
{
    constexpr int usageError = 2;
    try {
        cxxopts::Options options = jackdawweir::stand_in::commandLine();
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return jackdawweir::stand_in::serve(arguments);
    } catch (const cxxopts::exceptions::exception &failure) {
        std::cerr << failure.what() << '\n';
        return usageError;
    }
}
