// Compares the shipped server selection and admission of requests with plain proxies over many
// seeds.
//
//     placement_bench --seeds 100 --loads 0.5,1,1.5,3 --csv out.csv

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

#include <cxxopts.hpp>

#include "bench/placement_model_run.h"

namespace jackdawweir::bench {

namespace {

const std::vector<std::pair<const char *, placement>> placements{
    {"shipped", placement::Shipped},
    {"previous", placement::Previous},
    {"least-connections", placement::LeastConnections},
    {"round-robin", placement::RoundRobin}};

std::vector<placement_shape> shapes()
{
    placement_shape largeCatalogue;
    largeCatalogue.name = "catalogue-34";
    placement_shape smallCatalogue;
    smallCatalogue.name = "catalogue-5";
    smallCatalogue.servers = 5;
    smallCatalogue.nodesWithoutServer = 12;
    smallCatalogue.workMs = 90;
    smallCatalogue.target = std::chrono::milliseconds(300);
    smallCatalogue.deadline = std::chrono::milliseconds(1'200);
    placement_shape timetable;
    timetable.name = "timetable-4";
    timetable.dataCentres = 3;
    timetable.servers = 4;
    timetable.nodesWithoutServer = 9;
    timetable.slots = 12;
    timetable.workMs = 90;
    timetable.target = std::chrono::milliseconds(300);
    timetable.deadline = std::chrono::milliseconds(2'000);
    timetable.interDataCentreDelay = std::chrono::microseconds(900);
    timetable.retries = 2;
    timetable.lateWorth = 0.3;
    return {largeCatalogue, smallCatalogue, timetable};
}

struct statistics {
    double sum = 0;
    double squares = 0;
    double count = 0;

    void add(double value)
    {
        sum += value;
        squares += value * value;
        ++count;
    }

    double mean() const
    {
        return sum / count;
    }

    // Half of the 95% confidence interval of the mean.
    double interval() const
    {
        const double variance = std::max(squares / count - mean() * mean(), 0.0);
        return 1.96 * std::sqrt(variance / std::max(count - 1, 1.0));
    }
};

struct summary {
    statistics worth;
    statistics served;
    statistics crossings;
};

summary runSeeds(const placement_shape &shape, double load, placement kind, unsigned seeds)
{
    constexpr unsigned threads = 2;
    std::vector<std::vector<placement_figures>> found(threads);
    std::vector<std::thread> workers;
    for (unsigned worker = 0; worker < threads; ++worker) {
        workers.emplace_back([&, worker] {
            for (unsigned seed = worker; seed < seeds; seed += threads) {
                found[worker].push_back(placement_model(shape, load, kind, seed + 1).run());
            }
        });
    }
    for (std::thread &each : workers) {
        each.join();
    }
    summary total;
    for (const auto &list : found) {
        for (const placement_figures &each : list) {
            total.worth.add(each.worth);
            total.served.add((each.onTime + each.late) / each.requests);
            total.crossings.add(each.crossings / each.requests);
        }
    }
    return total;
}

int run(int argc, char **argv)
{
    cxxopts::Options options("placement_bench", "Compares ways to place requests");
    options.add_options()(
        "seeds", "seeds a case", cxxopts::value<unsigned>()->default_value("100"))(
        "loads",
        "multiples of the capacity",
        cxxopts::value<std::vector<double>>()->default_value("0.5,1,1.5,3"))(
        "shape", "one shape", cxxopts::value<std::string>()->default_value(""))(
        "only", "one placement", cxxopts::value<std::string>()->default_value(""))(
        "csv", "file for the figures", cxxopts::value<std::string>()->default_value(""));
    const cxxopts::ParseResult read = options.parse(argc, argv);
    std::ofstream csv(read["csv"].as<std::string>());
    csv << "shape,load,placement,worth,interval,served,crossings\n";
    for (const placement_shape &shape : shapes()) {
        const std::string wanted = read["shape"].as<std::string>();
        if (!wanted.empty() && wanted != shape.name) {
            continue;
        }
        for (const double load : read["loads"].as<std::vector<double>>()) {
            for (const auto &[name, kind] : placements) {
                if (const std::string only = read["only"].as<std::string>();
                    !only.empty() && only != name) {
                    continue;
                }
                const summary total = runSeeds(shape, load, kind, read["seeds"].as<unsigned>());
                std::printf("%-13s load %.2f %-18s worth %.3f +- %.3f served %.3f crossings %.2f\n",
                            shape.name.c_str(),
                            load,
                            name,
                            total.worth.mean(),
                            total.worth.interval(),
                            total.served.mean(),
                            total.crossings.mean());
                std::fflush(stdout);
                csv << shape.name << ',' << load << ',' << name << ',' << total.worth.mean() << ','
                    << total.worth.interval() << ',' << total.served.mean() << ','
                    << total.crossings.mean() << '\n';
            }
        }
    }
    return 0;
}

} // namespace

} // namespace jackdawweir::bench

int main(int argc, char **argv)
{
    return jackdawweir::bench::run(argc, argv);
}
