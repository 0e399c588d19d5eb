#include "platform_soak/configuration_probes.h"

#include <cstdlib>
#include <random>
#include <string>
#include <thread>

#include "platform_soak/http_client.h"
#include "platform_soak/process_control.h"

namespace jackdawweir::platform_soak {

namespace {

namespace beast_http = boost::beast::http;
using std::chrono::milliseconds;

// Longer than the longest pause of a process, so that late answers are observed too.
constexpr milliseconds probeLimit{4'000};
constexpr milliseconds probePause{25};

// Returns the node of a server from the name of its instance, "i-NODE-NUMBER".
int nodeOfInstance(const std::string &instance)
{
    return std::atoi(instance.substr(2).c_str());
}

std::string drawPrefix(const configuration_history &history, std::mt19937 &engine)
{
    constexpr unsigned probesPerFirstRoute = 4;
    const std::vector<std::string> prefixes = history.recentPrefixes();
    if (prefixes.empty() || engine() % probesPerFirstRoute == 0) {
        return "/stock/";
    }
    return prefixes[engine() % prefixes.size()];
}

} // namespace

void probeNode(const boost::asio::ip::tcp::endpoint &address,
               int node,
               configuration_history &history,
               const std::atomic<bool> &isDone,
               unsigned seed)
{
    constexpr unsigned probesPerConnection = 8;
    std::mt19937 engine(seed);
    http_client client(address, probeLimit);
    unsigned number = 0;
    while (!isDone) {
        probe_result probe;
        probe.node = node;
        probe.prefix = drawPrefix(history, engine);
        http_client::request_type request(beast_http::verb::get, probe.prefix + "probe", 11);
        request.set(beast_http::field::host, "shop.example");
        request.set("X-Jackdawweir-Attempt-Id",
                    "probe-" + std::to_string(node) + "-" + std::to_string(++number));
        request.set("X-Jackdawweir-Deadline-Ms", "2000");
        request.keep_alive(engine() % probesPerConnection != 0);
        probe.span.from = std::chrono::steady_clock::now();
        const auto received = client.send(request);
        probe.span.to = std::chrono::steady_clock::now();
        if (received) {
            probe.status = received->result_int();
            const std::string seal(received->base()["X-Jackdawweir-Server-Seal"]);
            if (!seal.empty()) {
                probe.serverNode = nodeOfInstance(seal);
                probe.service = serviceOfNode(*probe.serverNode);
            }
        }
        history.addProbe(std::move(probe));
        std::this_thread::sleep_for(probePause);
    }
}

} // namespace jackdawweir::platform_soak
