// Measures parsing, serialising and comparing a document of the design size: 97 services with two
// versions each, three routes for each service and a move for every tenth.
//
//     build/bin/document_bench --rounds 200

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <cxxopts.hpp>

#include "jackdawweir/document/difference.h"
#include "jackdawweir/document/parse.h"

namespace {

using jackdawweir::core::wall_time;
namespace document = jackdawweir::document;

constexpr int serviceCount = 97;
constexpr int routesPerService = 3;
constexpr int servicesPerMove = 10;

document::document designSizeDocument()
{
    document::document_builder builder;
    for (int index = 0; index < serviceCount; ++index) {
        const std::string name = absl::StrCat("service-", index);
        builder.addService(name, {{{"v1"}, 100}, {{"v2"}, 0}});
        for (int each = 0; each < routesPerService; ++each) {
            builder.addRoute(document::route_builder(absl::StrCat(name, "-route-", each))
                                 .pathPrefix(absl::StrCat("/", name, "/", each, "/"))
                                 .service(name)
                                 .build());
        }
        if (index % servicesPerMove == 0) {
            constexpr std::chrono::hours doneBy{500'000};
            builder.addMove(name, "v1", "v2", wall_time(doneBy));
        }
    }
    return builder.build();
}

template<typename Work>
void measure(const char *name, int rounds, Work work)
{
    std::vector<double> milliseconds;
    for (int round = 0; round < rounds; ++round) {
        const auto start = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double, std::milli> taken
            = std::chrono::steady_clock::now() - start;
        milliseconds.push_back(taken.count());
    }
    std::sort(milliseconds.begin(), milliseconds.end());
    constexpr double p99 = 0.99;
    const auto last = static_cast<double>(milliseconds.size() - 1);
    std::cout << name << " p50 " << milliseconds[milliseconds.size() / 2] << " ms, p99 "
              << milliseconds[static_cast<std::size_t>(last * p99)] << " ms\n";
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("document_bench", "Measures the document module.");
    options.add_options()("rounds", "Repeats", cxxopts::value<int>()->default_value("200"));
    const int rounds = std::max(options.parse(argc, argv)["rounds"].as<int>(), 1);

    const document::document before = designSizeDocument();
    document::document after = before;
    after.routes.back().contract.weight = 2;
    const std::string yaml = document::toYaml(before);
    std::cout << "document of " << yaml.size() << " bytes\n";
    bool valid = true;
    measure("parseDocument", rounds, [&] {
        valid = valid && jackdawweir::core::isOk(document::parseDocument(yaml, "bench"));
    });
    measure("toYaml", rounds, [&] { valid = valid && document::toYaml(before) == yaml; });
    measure("differenceOf", rounds, [&] {
        valid = valid && document::differenceOf(before, after).changes.size() == 1;
    });
    return valid ? 0 : 1;
}
