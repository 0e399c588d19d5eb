// Runs mesh processes, injects faults from outside, and checks the guarantees to callers, backend
// servers and the operator. Exit codes: 0, or 1 where a guarantee was violated.
//
//     mesh_soak --seeds 1,2,3 --seconds 20
//     mesh_soak --fresh 10 --seconds 20
//     mesh_soak --seeds 4,5 --seconds 20 --faults core
//     mesh_soak --seeds 6,7 --seconds 30 --faults links
//     mesh_soak --seeds 4165 --seconds 25 --faults cuts
//     mesh_soak --seeds 8 --seconds 20 --faults evacuations

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "platform_soak/soak_run.h"
#include "process/child_process.h"

namespace jackdawweir::platform_soak {

namespace {

// Returns true where no guarantee was violated.
bool runSeed(unsigned seed, std::chrono::seconds time, fault_plan plan)
{
    soak_run soak(seed, plan);
    const std::vector<std::string> violations = soak.run(time);
    const auto [bounded, stretched] = soak.boundedProbes();
    std::printf(
        "seed %u: %zu requests, %zu answered, %zu changes accepted, %zu + %zu probes bounded, "
        "%zu evacuations, %zu violations\n",
        seed,
        soak.requests(),
        soak.answered(),
        soak.acceptedChanges(),
        bounded,
        stretched,
        soak.evacuations(),
        violations.size());
    constexpr std::size_t maxLines = 20;
    for (std::size_t line = 0; line < std::min(violations.size(), maxLines); ++line) {
        std::printf("  %s\n", violations[line].c_str());
    }
    if (!violations.empty()) {
        std::printf("  logs: %s\n", soak.keepFolder().c_str());
    }
    std::fflush(stdout);
    return violations.empty();
}

int run(int argc, char **argv)
{
    cxxopts::Options options("mesh_soak", "Injects faults into mesh processes");
    options.add_options()("seeds", "seeds to play", cxxopts::value<std::vector<unsigned>>())(
        "fresh", "plays this many new seeds", cxxopts::value<unsigned>()->default_value("0"))(
        "seconds", "time with faults a seed", cxxopts::value<unsigned>()->default_value("10"))(
        "faults",
        "any, core, links, cuts or evacuations",
        cxxopts::value<std::string>()->default_value("any"));
    const cxxopts::ParseResult read = options.parse(argc, argv);
    std::vector<unsigned> seeds;
    if (read.count("seeds") > 0) {
        seeds = read["seeds"].as<std::vector<unsigned>>();
    }
    std::random_device device;
    for (unsigned fresh = 0; fresh < read["fresh"].as<unsigned>(); ++fresh) {
        seeds.push_back(device());
    }
    // The time for recovery, shutdown and the final restart, in addition to the time with faults.
    constexpr unsigned extraSeconds = 60;
    const unsigned seconds = read["seconds"].as<unsigned>();
    process_test::endChildrenAfter(
        std::chrono::seconds(static_cast<unsigned>(seeds.size()) * (seconds + extraSeconds)));
    const std::map<std::string, fault_plan> plans{{"any", fault_plan::AnyProcess},
                                                  {"core", fault_plan::Core},
                                                  {"links", fault_plan::Links},
                                                  {"cuts", fault_plan::Cuts},
                                                  {"evacuations", fault_plan::Evacuations}};
    const fault_plan plan = plans.at(read["faults"].as<std::string>());
    bool hasPassed = true;
    for (const unsigned seed : seeds) {
        hasPassed = runSeed(seed, std::chrono::seconds(seconds), plan) && hasPassed;
    }
    return hasPassed ? 0 : 1;
}

} // namespace

} // namespace jackdawweir::platform_soak

int main(int argc, char **argv)
{
    return jackdawweir::platform_soak::run(argc, argv);
}
