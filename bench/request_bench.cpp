// Compares the request policy with round robin and plain retries, and times routing decisions.
//
//     request_bench --scenario none,slow --load 0.5,3 --seeds 1,2 --csv out.csv
//     request_bench --decisions

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>

#include "bench/request_model_run.h"
#include "jackdawweir/request/route_table.h"

namespace jackdawweir::bench {

namespace {

using document::request_kind;
using document::request_urgency;

constexpr request_kind lookup = request_kind::Idempotent;
constexpr request_kind booking = request_kind::NonIdempotent;

deployment cascade()
{
    return deployment{"cascade",
                      4,
                      {4, 5, 4, 4},
                      10,
                      std::chrono::microseconds(750),
                      {{"catalogue", 0, lookup, request_urgency::Normal, 1, 800, 0.6},
                       {"stock", 0, lookup, request_urgency::High, 2, 800, 0.4},
                       {"order", 1, booking, request_urgency::High, 8, 2000, 0.5},
                       {"order-status", 1, lookup, request_urgency::Low, 1, 800, 0.5},
                       {"delivery", 2, booking, request_urgency::High, 6, 2000, 0.4},
                       {"dispatch-board", 2, lookup, request_urgency::Low, 1, 800, 0.6},
                       {"quote", 3, lookup, request_urgency::High, 5, 800, 0.5},
                       {"quote-archive", 3, lookup, request_urgency::Low, 1, 800, 0.5}}};
}

deployment fraserReach()
{
    return deployment{"fraser",
                      3,
                      {3, 4, 3, 3},
                      12,
                      std::chrono::microseconds(500),
                      {{"timetable", 0, lookup, request_urgency::High, 2, 800, 0.6},
                       {"timetable-export", 0, lookup, request_urgency::Low, 1, 800, 0.4},
                       {"lane-hold", 1, booking, request_urgency::High, 6, 2000, 0.6},
                       {"refund", 1, booking, request_urgency::Normal, 5, 2000, 0.4},
                       {"roster", 2, lookup, request_urgency::High, 3, 500, 0.6},
                       {"roster-search", 2, lookup, request_urgency::Normal, 1, 800, 0.4},
                       {"capacity", 3, lookup, request_urgency::High, 4, 500, 0.6},
                       {"waitlist", 3, lookup, request_urgency::Low, 1, 800, 0.4}}};
}

float p95Of(std::vector<float> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0F : values[values.size() * 95 / 100];
}

double percentOf(std::uint64_t some, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : 100.0 * static_cast<double>(some) / static_cast<double>(whole);
}

struct totals {
    double weightedSent = 0.0;
    double weightedCorrect = 0.0;
};

void printRoutes(std::ostream &csv, const model_settings &settings, const model_result &result)
{
    const char *policy = settings.isBaseline ? "round-robin"
        : settings.hedges                    ? "jackdawweir+hedge"
                                             : "jackdawweir";
    totals all;
    for (std::size_t index = 0; index < result.routes.size(); ++index) {
        const route_spec &spec = settings.sizes.routes[index];
        const route_result &each = result.routes[index];
        all.weightedSent += static_cast<double>(each.sent) * spec.weight;
        all.weightedCorrect += static_cast<double>(each.correct) * spec.weight;
        csv << settings.sizes.name << ',' << settings.scenario << ',' << settings.load << ','
            << policy << ',' << settings.seed << ',' << spec.name << ',' << each.sent << ','
            << each.correct << ',' << each.notRun << ',' << each.unknown << ','
            << p95Of(each.milliseconds) << ',' << result.doubleRuns << ',' << result.falseNotRun
            << '\n';
    }
    const auto percentOfKind = [&](request_kind kind) {
        std::uint64_t sent = 0;
        std::uint64_t correct = 0;
        for (std::size_t index = 0; index < result.routes.size(); ++index) {
            if (settings.sizes.routes[index].kind == kind) {
                sent += result.routes[index].sent;
                correct += result.routes[index].correct;
            }
        }
        return percentOf(correct, sent);
    };
    std::vector<float> lookupTimes;
    for (std::size_t index = 0; index < result.routes.size(); ++index) {
        if (settings.sizes.routes[index].kind == lookup) {
            const std::vector<float> &times = result.routes[index].milliseconds;
            lookupTimes.insert(lookupTimes.end(), times.begin(), times.end());
        }
    }
    std::printf("%-8s %-10s %4.1f %-18s %4llu  weighted %5.1f%%  lookups %5.1f%% p95 %4.0f ms  "
                "bookings %5.1f%%  double %llu  false-not-run %llu  attempts %llu",
                settings.sizes.name,
                settings.scenario.c_str(),
                settings.load,
                policy,
                static_cast<unsigned long long>(settings.seed),
                100.0 * all.weightedCorrect / all.weightedSent,
                percentOfKind(lookup),
                static_cast<double>(p95Of(lookupTimes)),
                percentOfKind(booking),
                static_cast<unsigned long long>(result.doubleRuns),
                static_cast<unsigned long long>(result.falseNotRun),
                static_cast<unsigned long long>(result.attempts));
    if (settings.scenario == "noisy") {
        std::printf("  flood %5.1f%%", percentOf(result.flood.correct, result.flood.sent));
        std::printf("  first route %5.1f%% p95 %4.0f ms",
                    percentOf(result.routes[0].correct, result.routes[0].sent),
                    static_cast<double>(p95Of(result.routes[0].milliseconds)));
    }
    std::printf("\n");
}

// Measures the time of route lookup, admission, server selection and the completion of an attempt,
// on 1 and 4 threads.
void timeDecisions(std::size_t services, std::size_t serversOfService)
{
    document::configuration held;
    std::vector<membership::backend_server> servers;
    for (std::size_t service = 0; service < services; ++service) {
        const std::string name = absl::StrCat("service-", service);
        held.services.push_back(
            document::service{core::service_name{name}, {{core::version_name{"v1"}, 100}}});
        held.routes.push_back(document::route_builder(absl::StrCat("route-", service))
                                  .pathPrefix(absl::StrCat("/", name, "/"))
                                  .service(name)
                                  .build());
        for (std::size_t count = 0; count < serversOfService; ++count) {
            membership::backend_server added;
            added.address.value = absl::StrCat("127.0.", service, ".", count, ":80");
            added.service.value = name;
            added.version.value = "v1";
            added.dataCentre.value = absl::StrCat("dc", count % 4);
            added.slots = 10;
            added.connections = connectionsOfServer;
            added.state = membership::server_state::Ready;
            servers.push_back(added);
        }
    }
    const monotonic_time start{std::chrono::hours(1)};
    request::selector_settings settings;
    settings.ownDataCentre.value = "dc0";
    const request::route_table routes(held);
    const request::server_selector selector(
        settings, request::selector_input{held, servers, {}}, nullptr, start);
    request::admission admissionControl{request::admission_settings{}};
    constexpr int decisions = 1'000'000;
    const auto work = [&](std::uint64_t seed) {
        core::random_engine engine(seed);
        std::vector<std::string> paths;
        for (std::size_t service = 0; service < services; ++service) {
            paths.push_back(absl::StrCat("/service-", service, "/items/17"));
        }
        for (int count = 0; count < decisions; ++count) {
            const monotonic_time now = start + std::chrono::microseconds(count);
            const document::route *route
                = routes.find(paths[static_cast<std::size_t>(count) % paths.size()]);
            admissionControl.decide(route->contract.urgency, "caller", now, engine);
            auto claim = selector.select(route->service, now, engine);
            if (core::isOk(claim)) {
                auto taken = core::valueIn(std::move(claim));
                request::attempt_outcome done;
                done.outcome = request::request_outcome::Done;
                taken.finish(done, std::chrono::milliseconds(20), now);
            }
            admissionControl.report(false, route->contract.urgency, now);
        }
    };
    for (const std::size_t threads : {1U, 4U}) {
        const auto began = std::chrono::steady_clock::now();
        std::vector<std::thread> running;
        for (std::size_t index = 0; index < threads; ++index) {
            running.emplace_back(work, index + 1);
        }
        for (std::thread &each : running) {
            each.join();
        }
        const std::chrono::duration<double, std::nano> elapsed
            = std::chrono::steady_clock::now() - began;
        std::printf("%zu services of %zu servers, %zu threads: %.0f ns for each decision\n",
                    services,
                    serversOfService,
                    threads,
                    elapsed.count() / decisions);
    }
}

void runModels(const cxxopts::ParseResult &options)
{
    std::ofstream csv(options["csv"].as<std::string>());
    csv << "deployment,scenario,load,policy,seed,route,sent,correct,not_run,unknown,p95_ms,"
           "double_runs,false_not_run\n";
    const bool hedges = options["hedge"].as<bool>();
    for (const std::string &name : options["deployment"].as<std::vector<std::string>>()) {
        for (const std::string &scenario : options["scenario"].as<std::vector<std::string>>()) {
            for (const double load : options["load"].as<std::vector<double>>()) {
                for (const std::uint64_t seed : options["seeds"].as<std::vector<std::uint64_t>>()) {
                    for (const int policy : hedges ? std::vector{0, 2} : std::vector{0, 1}) {
                        model_settings settings;
                        settings.sizes = name == "cascade" ? cascade() : fraserReach();
                        settings.scenario = scenario;
                        settings.load = load;
                        settings.seed = seed;
                        settings.isBaseline = policy == 1;
                        settings.hedges = policy == 2;
                        settings.length = std::chrono::seconds(options["seconds"].as<int>());
                        printRoutes(csv, settings, request_model(settings).run());
                    }
                }
            }
        }
    }
}

} // namespace

} // namespace jackdawweir::bench

int main(int argc, char **argv)
{
    cxxopts::Options options("request_bench", "Compares request policies in a model");
    auto add = options.add_options();
    add("deployment",
        "cascade, fraser",
        cxxopts::value<std::vector<std::string>>()->default_value("cascade,fraser"));
    add("scenario",
        "none, slow, partition, storm, noisy",
        cxxopts::value<std::vector<std::string>>()->default_value(
            "none,slow,partition,storm,noisy"));
    add("load",
        "Multiples of capacity",
        cxxopts::value<std::vector<double>>()->default_value("0.5,1,1.5,3"));
    add("seeds", "Seeds", cxxopts::value<std::vector<std::uint64_t>>()->default_value("1"));
    add("seconds", "Length of a run", cxxopts::value<int>()->default_value("15"));
    add("csv",
        "File for the figures of each route",
        cxxopts::value<std::string>()->default_value("request_bench.csv"));
    add("hedge", "Compare with and without hedging", cxxopts::value<bool>());
    add("decisions", "Time routing decisions only", cxxopts::value<bool>());
    add("help", "Print this text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    if (parsed["decisions"].as<bool>()) {
        jackdawweir::bench::timeDecisions(4, 4);
        jackdawweir::bench::timeDecisions(97, 9);
        return 0;
    }
    jackdawweir::bench::runModels(parsed);
    return 0;
}
