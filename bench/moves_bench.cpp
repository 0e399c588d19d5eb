// Compares the policy of moves with fixed steps and an immediate move, on seeded moves of each
// scenario.
//
//     moves_bench --moves 1000 --rate 200 --csv moves.csv

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <absl/strings/str_format.h>
#include <cxxopts.hpp>

#include "bench/moves/experiment.h"

namespace jackdawweir::bench {

namespace {

struct bench_options {
    experiment_options experiment;
    std::uint64_t firstSeed = 1;
    std::size_t moves = 1000;
    std::size_t threads = 3;
    bool showsReasons = false;
};

using run_function = move_outcome (*)(scenario, const experiment_options &, std::uint64_t);

struct named_policy {
    const char *name;
    run_function run;
};

const std::vector<named_policy> policies{
    {"guarded", runMove<guarded_move>},
    {"fixed-steps", runMove<fixed_steps>},
    {"immediate", runMove<immediate_move>},
};

struct summary {
    double doneInTime = 0;
    double reverted = 0;
    // Moves whose new version received at least one call while it was bad; in the others no policy
    // can detect the fault.
    double exposed = 0;
    double revertedOfExposed = 0;
    double badCalls = 0;
    double faultyResponses = 0;
    double calls = 0;
    double worstBadCalls = 0;
    std::vector<double> stopSeconds;

    double quantile(double part) const
    {
        if (stopSeconds.empty()) {
            return -1;
        }
        const auto index = static_cast<std::size_t>(part * static_cast<double>(stopSeconds.size()));
        return stopSeconds[std::min(index, stopSeconds.size() - 1)];
    }
};

std::vector<move_outcome>
runAll(const named_policy &policy, scenario kind, const bench_options &options)
{
    std::vector<move_outcome> outcomes(options.moves);
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t index = next++; index < options.moves; index = next++) {
            outcomes[index] = policy.run(kind, options.experiment, options.firstSeed + index);
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < options.threads; ++index) {
        threads.emplace_back(work);
    }
    for (std::thread &each : threads) {
        each.join();
    }
    return outcomes;
}

summary summarise(const std::vector<move_outcome> &outcomes)
{
    summary sum;
    for (const move_outcome &outcome : outcomes) {
        sum.doneInTime += outcome.wasDoneInTime ? 1 : 0;
        sum.reverted += outcome.wasReverted ? 1 : 0;
        sum.exposed += outcome.wasBad ? 1 : 0;
        sum.revertedOfExposed += outcome.wasBad && outcome.wasReverted ? 1 : 0;
        sum.badCalls += outcome.callsToBad;
        sum.faultyResponses += outcome.faultyResponses;
        sum.calls += outcome.calls;
        sum.worstBadCalls = std::max(sum.worstBadCalls, outcome.callsToBad);
        if (outcome.secondsToNoTraffic >= 0 && outcome.wasReverted) {
            sum.stopSeconds.push_back(outcome.secondsToNoTraffic);
        }
    }
    std::sort(sum.stopSeconds.begin(), sum.stopSeconds.end());
    return sum;
}

constexpr const char *csvHeader
    = "rate,scenario,policy,moves,done_in_time,reverted,exposed,reverted_of_exposed,"
      "bad_calls_percent,faulty_responses_percent,worst_bad_calls,stop_p50_s,stop_p99_s\n";

std::string csvLine(const bench_options &options,
                    const std::string &kind,
                    const std::string &policy,
                    const summary &sum)
{
    return absl::StrFormat("%g,%s,%s,%d,%g,%g,%g,%g,%.4f,%.4f,%g,%.2f,%.2f\n",
                           options.experiment.callsPerMinute,
                           kind,
                           policy,
                           options.moves,
                           sum.doneInTime,
                           sum.reverted,
                           sum.exposed,
                           sum.revertedOfExposed,
                           100 * sum.badCalls / sum.calls,
                           100 * sum.faultyResponses / sum.calls,
                           sum.worstBadCalls,
                           sum.quantile(0.5),
                           sum.quantile(0.99));
}

std::string tableLine(const bench_options &options,
                      const std::string &kind,
                      const std::string &policy,
                      const summary &sum)
{
    const auto moves = static_cast<double>(options.moves);
    return absl::StrFormat("%-18s %-12s %8.2f %9.2f %8g %9.2f %8.3f %8.3f %7g %8.2f %8.2f\n",
                           kind,
                           policy,
                           100 * sum.doneInTime / moves,
                           100 * sum.reverted / moves,
                           sum.exposed,
                           sum.exposed > 0 ? 100 * sum.revertedOfExposed / sum.exposed : 0.0,
                           100 * sum.badCalls / sum.calls,
                           100 * sum.faultyResponses / sum.calls,
                           sum.worstBadCalls,
                           sum.quantile(0.5),
                           sum.quantile(0.99));
}

void printReasons(const std::vector<move_outcome> &outcomes, scenario kind, std::uint64_t firstSeed)
{
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        const move_outcome &outcome = outcomes[index];
        const bool isWrong = isBadScenario(kind) ? !outcome.wasReverted : !outcome.wasDoneInTime;
        if (isWrong) {
            std::cout << "  seed " << firstSeed + index << ": " << outcome.reason << "; bad calls "
                      << outcome.callsToBad << ", faulty " << outcome.faultyResponses << '\n';
        }
    }
}

bool matches(const std::string &filter, const std::string &name)
{
    return filter == "all" || filter == name;
}

void runBench(const bench_options &options,
              const std::string &scenarioFilter,
              const std::string &policyFilter,
              std::ostream *csv)
{
    std::cout << absl::StrFormat(
        "%g calls/min, %g s to the completion time, %d moves, first seed %d\n",
        options.experiment.callsPerMinute,
        options.experiment.window,
        options.moves,
        options.firstSeed);
    std::cout << absl::StrFormat("%-18s %-12s %8s %9s %8s %9s %8s %8s %7s %8s %8s\n",
                                 "scenario",
                                 "policy",
                                 "done%",
                                 "reverted%",
                                 "exposed",
                                 "rev.exp.%",
                                 "bad%",
                                 "faulty%",
                                 "worst",
                                 "stop50 s",
                                 "stop99 s");
    for (const auto &[kind, name] : scenarios) {
        for (const named_policy &policy : policies) {
            if (!matches(scenarioFilter, name) || !matches(policyFilter, policy.name)) {
                continue;
            }
            const std::vector<move_outcome> outcomes = runAll(policy, kind, options);
            const summary sum = summarise(outcomes);
            std::cout << tableLine(options, name, policy.name, sum) << std::flush;
            if (csv != nullptr) {
                *csv << csvLine(options, name, policy.name, sum);
            }
            if (options.showsReasons) {
                printReasons(outcomes, kind, options.firstSeed);
            }
        }
    }
}

} // namespace

} // namespace jackdawweir::bench

int main(int argc, char **argv)
{
    using namespace jackdawweir::bench;
    cxxopts::Options arguments("moves_bench", "Measures the policy of moves on seeded moves.");
    auto add = arguments.add_options();
    add("moves", "moves for each scenario", cxxopts::value<std::size_t>()->default_value("1000"));
    add("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("rate", "calls per minute", cxxopts::value<double>()->default_value("200"));
    add("window",
        "seconds to the completion time",
        cxxopts::value<double>()->default_value("1800"));
    add("scenario", "one scenario, or all", cxxopts::value<std::string>()->default_value("all"));
    add("policy",
        "guarded, fixed-steps, immediate or all",
        cxxopts::value<std::string>()->default_value("all"));
    add("least-fault-rate",
        "least part of responses that a bad version fails",
        cxxopts::value<double>()->default_value("0.3"));
    add("threads", "threads", cxxopts::value<std::size_t>()->default_value("3"));
    add("csv", "file for the figures", cxxopts::value<std::string>()->default_value(""));
    add("reasons", "print each move with a wrong outcome");
    add("help", "print this text");
    const cxxopts::ParseResult parsed = arguments.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << arguments.help();
        return 0;
    }
    bench_options options;
    options.moves = parsed["moves"].as<std::size_t>();
    options.firstSeed = parsed["seed"].as<std::uint64_t>();
    options.experiment.callsPerMinute = parsed["rate"].as<double>();
    options.experiment.window = parsed["window"].as<double>();
    options.experiment.leastFaultRate = parsed["least-fault-rate"].as<double>();
    options.threads = parsed["threads"].as<std::size_t>();
    options.showsReasons = parsed.count("reasons") > 0;
    const std::string csvPath = parsed["csv"].as<std::string>();
    std::ofstream csv;
    if (!csvPath.empty()) {
        csv.open(csvPath);
        csv << csvHeader;
    }
    runBench(options,
             parsed["scenario"].as<std::string>(),
             parsed["policy"].as<std::string>(),
             csvPath.empty() ? nullptr : &csv);
    return 0;
}
