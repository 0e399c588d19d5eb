// Generates open-loop load on a node and, interleaved in the same run, directly on a backend
// server. Requests have a fixed schedule, and latency is measured from the scheduled time, so that
// it includes the time a request waits behind a slow response.
//
// Usage: load_bench --direct 127.0.0.1:9001 --node 127.0.1.1:8000 --rate 1000 --seconds 10

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <curl/curl.h>
#include <cxxopts.hpp>

#include <absl/strings/str_format.h>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/proxy/upstream_client.h"

namespace jackdawweir::bench {
namespace {

using std::chrono::nanoseconds;

struct load_settings {
    core::endpoint direct;
    core::endpoint node;
    std::string target;
    std::uint64_t rate = 0;
    std::uint64_t count = 0;
    std::size_t threads = 0;
};

struct load_samples {
    std::vector<nanoseconds> direct;
    std::vector<nanoseconds> node;
    std::uint64_t failures = 0;
};

proxy::upstream_request requestTo(const core::endpoint &address, const std::string &target)
{
    proxy::upstream_request request;
    request.address = address;
    request.method = "GET";
    request.target = target;
    request.headers.push_back({"Jackdawweir-Request-Id", "load"});
    request.timeout = std::chrono::milliseconds(5000);
    return request;
}

// Sends the next request at its scheduled time until all are sent. The threads share the counter
// `next`.
void sendScheduled(const load_settings &settings,
                   const core::clock &clock,
                   core::monotonic_time start,
                   std::atomic<std::uint64_t> &next,
                   load_samples &samples)
{
    proxy::upstream_client client;
    const proxy::upstream_request direct = requestTo(settings.direct, settings.target);
    const proxy::upstream_request node = requestTo(settings.node, settings.target);
    const nanoseconds interval = nanoseconds(std::chrono::seconds(1)) / settings.rate;
    while (true) {
        const std::uint64_t index = next.fetch_add(1);
        if (index >= settings.count) {
            return;
        }
        const core::monotonic_time scheduled = start + interval * index;
        std::this_thread::sleep_until(scheduled);
        const bool isDirect = index % 2 == 0;
        const proxy::upstream_result sent = client.send(isDirect ? direct : node);
        const nanoseconds latency = clock.monotonicNow() - scheduled;
        (isDirect ? samples.direct : samples.node).push_back(latency);
        constexpr unsigned ok = 200;
        const bool correct
            = sent.state == proxy::transfer_state::Complete && sent.response.status == ok;
        samples.failures += correct ? 0 : 1;
    }
}

load_samples runLoad(const load_settings &settings)
{
    const core::system_clock_source clock;
    const core::monotonic_time start = clock.monotonicNow() + std::chrono::milliseconds(100);
    std::atomic<std::uint64_t> next{0};
    std::vector<load_samples> parts(settings.threads);
    std::vector<std::thread> threads;
    threads.reserve(settings.threads);
    for (load_samples &part : parts) {
        threads.emplace_back([&settings, &clock, start, &next, &part] {
            sendScheduled(settings, clock, start, next, part);
        });
    }
    load_samples all;
    for (std::size_t index = 0; index < threads.size(); ++index) {
        threads[index].join();
        const load_samples &part = parts[index];
        all.direct.insert(all.direct.end(), part.direct.begin(), part.direct.end());
        all.node.insert(all.node.end(), part.node.begin(), part.node.end());
        all.failures += part.failures;
    }
    return all;
}

double quantileMillis(std::vector<nanoseconds> &samples, double quantile)
{
    std::sort(samples.begin(), samples.end());
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(samples.size() - 1));
    return std::chrono::duration<double, std::milli>(samples[index]).count();
}

void print(const load_settings &settings, load_samples &samples)
{
    std::cout << absl::StreamFormat(
        "rate %d/s, %d requests, %d failed\n", settings.rate, settings.count, samples.failures);
    std::cout << "quantile   direct ms     node ms    added ms\n";
    for (const double quantile : {0.5, 0.99, 0.999}) {
        const double direct = quantileMillis(samples.direct, quantile);
        const double node = quantileMillis(samples.node, quantile);
        std::cout << absl::StreamFormat(
            "p%-8g %10.3f  %10.3f  %10.3f\n", quantile * 100, direct, node, node - direct);
    }
}

load_settings settingsFrom(const cxxopts::ParseResult &arguments)
{
    load_settings settings;
    settings.direct.value = arguments["direct"].as<std::string>();
    settings.node.value = arguments["node"].as<std::string>();
    settings.target = arguments["target"].as<std::string>();
    settings.rate = arguments["rate"].as<std::uint64_t>();
    settings.count = settings.rate * arguments["seconds"].as<std::uint64_t>();
    settings.threads = arguments["threads"].as<std::size_t>();
    return settings;
}

} // namespace
} // namespace jackdawweir::bench

int main(int argc, char **argv)
{
    using namespace jackdawweir::bench;
    curl_global_init(CURL_GLOBAL_DEFAULT);
    cxxopts::Options options("load_bench", "Measures the time that a node adds to a call");
    auto add = options.add_options();
    add("direct", "Backend server IP:PORT", cxxopts::value<std::string>());
    add("node", "Callers endpoint of a node", cxxopts::value<std::string>());
    add("target", "Path", cxxopts::value<std::string>()->default_value("/quotes/1"));
    add("rate", "Requests a second, half of them direct", cxxopts::value<std::uint64_t>());
    add("seconds", "Duration", cxxopts::value<std::uint64_t>()->default_value("10"));
    add("threads", "Connections", cxxopts::value<std::size_t>()->default_value("32"));
    add("help", "Print this text");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const load_settings settings = settingsFrom(arguments);
    load_samples samples = runLoad(settings);
    print(settings, samples);
    return samples.failures == 0 ? 0 : 1;
}
