// Runs mesh processes under faults from outside and checks what callers, backend servers and the
// operator see. Exit codes: 0, 1 where a promise was broken.
//
//     mesh_soak --seeds 1,2,3 --seconds 20
//     mesh_soak --fresh 10 --seconds 20

#include <algorithm>
#include <cstdio>
#include <random>
#include <vector>

#include <cxxopts.hpp>

#include "platform_soak/soak_world.h"
#include "process/child_process.h"

namespace jackdawweir::platform_soak {

namespace {

// Returns true where every promise was kept.
bool play(unsigned seed, std::chrono::seconds time)
{
    soak_world world(seed);
    const std::vector<std::string> violations = world.run(time);
    std::printf("seed %u: %zu requests, %zu answered, %llu changes accepted, %zu violations\n",
                seed,
                world.requests(),
                world.answered(),
                static_cast<unsigned long long>(world.acceptedChanges()),
                violations.size());
    constexpr std::size_t mostLines = 20;
    for (std::size_t line = 0; line < std::min(violations.size(), mostLines); ++line) {
        std::printf("  %s\n", violations[line].c_str());
    }
    if (!violations.empty()) {
        std::printf("  logs: %s\n", world.keepFolder().c_str());
    }
    std::fflush(stdout);
    return violations.empty();
}

int run(int argc, char **argv)
{
    cxxopts::Options options("mesh_soak", "Injects faults into mesh processes");
    options.add_options()("seeds", "seeds to play", cxxopts::value<std::vector<unsigned>>())(
        "fresh", "plays this many new seeds", cxxopts::value<unsigned>()->default_value("0"))(
        "seconds", "time with faults a seed", cxxopts::value<unsigned>()->default_value("10"));
    const cxxopts::ParseResult read = options.parse(argc, argv);
    std::vector<unsigned> seeds;
    if (read.count("seeds") > 0) {
        seeds = read["seeds"].as<std::vector<unsigned>>();
    }
    std::random_device device;
    for (unsigned fresh = 0; fresh < read["fresh"].as<unsigned>(); ++fresh) {
        seeds.push_back(device());
    }
    // Recovery, shutdown and the final restart come on top of the faults.
    constexpr unsigned secondsBesides = 60;
    const unsigned seconds = read["seconds"].as<unsigned>();
    process_test::endChildrenAfter(
        std::chrono::seconds(static_cast<unsigned>(seeds.size()) * (seconds + secondsBesides)));
    bool isKept = true;
    for (const unsigned seed : seeds) {
        isKept = play(seed, std::chrono::seconds(seconds)) && isKept;
    }
    return isKept ? 0 : 1;
}

} // namespace

} // namespace jackdawweir::platform_soak

int main(int argc, char **argv)
{
    return jackdawweir::platform_soak::run(argc, argv);
}
