// Measures distribution and membership by running the state machines of a whole fleet over
// simulated links.
//
//     distribution_bench --nodes 840 --data-centres 6 --seed 1 --csv figures.csv

#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "bench/support/simulated_fleet.h"

namespace jackdawweir::bench {

namespace {

constexpr double secondsPerDay = 86'400;
constexpr double changesPerDay = 420;
constexpr double restartsPerDay = 90;
constexpr auto warmUp = 10s;

// Prints each figure as a table row and writes it as a CSV row.
class report
{
public:
    explicit report(const std::string &csvPath)
    {
        if (!csvPath.empty()) {
            m_csv.open(csvPath);
            m_csv << "scenario,figure,value,unit\n";
        }
    }

    void add(const std::string &scenario,
             const std::string &figure,
             double value,
             const std::string &unit)
    {
        std::printf(
            "%-28s %-44s %14.3f %s\n", scenario.c_str(), figure.c_str(), value, unit.c_str());
        std::fflush(stdout);
        if (m_csv.is_open()) {
            m_csv << scenario << ',' << figure << ',' << value << ',' << unit << '\n';
        }
    }

private:
    std::ofstream m_csv;
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[rank];
}

double seconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

const usage &usageOf(const simulated_fleet &fleet, role wanted)
{
    return fleet.usageByRole[static_cast<std::size_t>(wanted)];
}

double bytesPerHost(const simulated_fleet &fleet, role wanted)
{
    return static_cast<double>(usageOf(fleet, wanted).bytes)
        / static_cast<double>(fleet.countOf(wanted));
}

double cpuPercentPerHost(const simulated_fleet &fleet, role wanted, double duration)
{
    constexpr double nanosecondsPerPercent = 1e7;
    return static_cast<double>(usageOf(fleet, wanted).cpuNanoseconds) / nanosecondsPerPercent
        / duration / static_cast<double>(fleet.countOf(wanted));
}

void addConvergence(report &out, const std::string &scenario, const std::vector<double> &times)
{
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    out.add(scenario, "activations", static_cast<double>(times.size()), "");
    out.add(scenario, "convergence p50", percentile(times, median), "ms");
    out.add(scenario, "convergence p99", percentile(times, tail), "ms");
    out.add(scenario, "convergence max", percentile(times, 1.0), "ms");
}

// Measures the idle state, changes and single restarts in one run, since the costs of a change and
// of a restart are reported as their excess over the idle state.
void measureDailyLoad(report &out, const fleet_settings &settings)
{
    simulated_fleet fleet(settings);
    fleet.commit();
    fleet.advance(warmUp);
    constexpr int events = 20;
    constexpr auto pause = 3'170ms; // Not a multiple of the heartbeat interval.
    constexpr double duration = 63.4;

    fleet.resetCounters();
    fleet.advance(events * pause);
    const double idleBytesOfNode = bytesPerHost(fleet, role::Node);
    out.add("rest", "control bytes of a node", idleBytesOfNode / duration, "B/s");
    out.add("rest", "control bytes of a relay", bytesPerHost(fleet, role::Relay) / duration, "B/s");
    out.add(
        "rest", "control bytes of a source", bytesPerHost(fleet, role::Source) / duration, "B/s");
    out.add(
        "rest", "processor time of a node", cpuPercentPerHost(fleet, role::Node, duration), "%");

    fleet.resetCounters();
    for (int change = 0; change < events; ++change) {
        fleet.commit();
        fleet.advance(pause);
    }
    addConvergence(out, "change", fleet.convergence);
    const double perChange = (bytesPerHost(fleet, role::Node) - idleBytesOfNode) / events;
    out.add("change", "bytes of a node for one change", perChange, "B");
    out.add("420 changes a day",
            "control bytes of a node",
            idleBytesOfNode / duration + perChange * changesPerDay / secondsPerDay,
            "B/s");

    fleet.resetCounters();
    for (int restart = 0; restart < events; ++restart) {
        const std::size_t host = fleet.firstNode()
            + static_cast<std::size_t>(restart) * 37 % (fleet.hostCount() - fleet.firstNode());
        if (!fleet.isRelay(host)) {
            fleet.start(host);
        }
        fleet.advance(pause);
    }
    const double perRestart = (bytesPerHost(fleet, role::Node) - idleBytesOfNode) / events;
    out.add("restart", "bytes of a node for one restart of a host", perRestart, "B");
    out.add("90 restarts a day",
            "control bytes of a node",
            idleBytesOfNode / duration + perRestart * restartsPerDay / secondsPerDay,
            "B/s");
}

// Restarts all hosts of one data centre at once after ten seconds of downtime, during which one
// version is committed.
void measureMassRestart(report &out, const fleet_settings &settings)
{
    simulated_fleet fleet(settings);
    fleet.commit();
    fleet.advance(warmUp);
    const std::vector<std::size_t> restarted = fleet.nodesOf(0);
    for (const std::size_t host : restarted) {
        fleet.stop(host);
    }
    fleet.advance(5s);
    fleet.commit();
    fleet.advance(5s);
    const auto begin = fleet.elapsed();
    for (const std::size_t host : restarted) {
        fleet.start(host);
    }
    fleet.resetCounters();
    constexpr auto observed = 20s;
    fleet.advance(observed);
    out.add("mass restart", "hosts restarted", static_cast<double>(restarted.size()), "");
    out.add("mass restart", "hosts on the newest version", double(fleet.countActive()), "");
    out.add(
        "mass restart", "until the last activation", seconds(fleet.lastActivatedAt - begin), "s");
    std::uint64_t bytesOfRestartedHosts = 0;
    for (const std::size_t host : restarted) {
        bytesOfRestartedHosts += fleet.hostBytes[host];
    }
    out.add("mass restart",
            "control bytes of a restarted host, 20 s",
            static_cast<double>(bytesOfRestartedHosts) / static_cast<double>(restarted.size())
                / seconds(observed),
            "B/s");
    out.add("mass restart",
            "control bytes of a node anywhere, 20 s",
            bytesPerHost(fleet, role::Node) / seconds(observed),
            "B/s");
    out.add("mass restart", "longest queue at a link", seconds(fleet.longestQueue) * 1e3, "ms");
}

// Measures the bytes and processor time of sources, relays and nodes with one change every three
// seconds.
void measureScale(report &out, fleet_settings settings, unsigned nodes)
{
    settings.nodes = nodes;
    simulated_fleet fleet(settings);
    fleet.commit();
    fleet.advance(warmUp);
    fleet.resetCounters();
    constexpr int changes = 10;
    constexpr auto pause = 3s;
    for (int change = 0; change < changes; ++change) {
        fleet.commit();
        fleet.advance(pause);
    }
    const double duration = changes * 3.0;
    const std::string scenario = "scale " + std::to_string(nodes) + " nodes";
    out.add(scenario, "relays", static_cast<double>(fleet.countOf(role::Relay)), "");
    for (const auto &[wanted, name] : {std::pair(role::Source, "source"),
                                       std::pair(role::Relay, "relay"),
                                       std::pair(role::Node, "node")}) {
        if (fleet.countOf(wanted) == 0) {
            continue;
        }
        out.add(scenario,
                std::string("bytes of a ") + name,
                bytesPerHost(fleet, wanted) / duration,
                "B/s");
        out.add(scenario,
                std::string("processor time of a ") + name,
                cpuPercentPerHost(fleet, wanted, duration),
                "%");
    }
    addConvergence(out, scenario, fleet.convergence);
}

// Starts all nodes at once while no relay runs and only one source is available.
void measureConnectionStorm(report &out,
                            fleet_settings settings,
                            distribution::admission_policy policy)
{
    settings.admission.policy = policy;
    settings.withoutRelays = true;
    settings.sources = 1;
    simulated_fleet fleet(settings);
    fleet.commit(true);
    fleet.resetCounters();
    constexpr auto limit = 60s;
    std::size_t running = 0;
    for (std::size_t host = fleet.firstNode(); host < fleet.hostCount(); ++host) {
        running += fleet.hasProcess(host) ? 1 : 0;
    }
    while (fleet.countHolding(fleet.committed()) < running && fleet.elapsed() < limit) {
        fleet.advance(50ms);
    }
    const std::string name = policy == distribution::admission_policy::ByCost ? "cost" : "count";
    const std::string scenario
        = "storm by " + name + ", " + std::to_string(settings.services) + " services";
    out.add(scenario, "nodes", static_cast<double>(running), "");
    out.add(scenario,
            "nodes with the configuration",
            static_cast<double>(fleet.countHolding(fleet.committed())),
            "");
    out.add(scenario, "until the last node has it", seconds(fleet.lastHeldAt), "s");
    out.add(scenario, "longest queue at the source", seconds(fleet.longestQueue) * 1e3, "ms");
    out.add(scenario, "bytes of the source", bytesPerHost(fleet, role::Source) / 1e6, "MB");
}

int run(const cxxopts::ParseResult &arguments)
{
    fleet_settings settings;
    settings.nodes = arguments["nodes"].as<unsigned>();
    settings.dataCentres = arguments["data-centres"].as<unsigned>();
    settings.seed = arguments["seed"].as<std::uint64_t>();
    report out(arguments["csv"].as<std::string>());
    measureDailyLoad(out, settings);
    measureMassRestart(out, settings);
    for (const unsigned divisor : {8U, 4U, 2U, 1U}) {
        measureScale(out, settings, settings.nodes / divisor);
    }
    for (const unsigned services : {97U, 2000U}) {
        settings.services = services;
        measureConnectionStorm(out, settings, distribution::admission_policy::ByCost);
        measureConnectionStorm(out, settings, distribution::admission_policy::ByCount);
    }
    return 0;
}

} // namespace

} // namespace jackdawweir::bench

int main(int argc, char **argv)
{
    cxxopts::Options options("distribution_bench", "Measures distribution and membership.");
    options.add_options()(
        "nodes", "number of nodes", cxxopts::value<unsigned>()->default_value("840"))(
        "data-centres", "number of data centres", cxxopts::value<unsigned>()->default_value("6"))(
        "seed", "seed of the random engine", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "csv", "file for the figures as CSV", cxxopts::value<std::string>()->default_value(""))(
        "help", "print this text");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return jackdawweir::bench::run(arguments);
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
