// A route is split 70 to 30 between two services. The operator changes idleTimeoutS every 1.4 s; the
// split stays as it is. Each of ten nodes gets less than one request on that route between two changes.

#include "mesh.hh"

using namespace review;

namespace {

constexpr int firstNode = 4;
constexpr int lastNode = 13;
constexpr double weightOfSecond = 0.3;

std::string resources(int idleTimeoutS)
{
    return "{\"resourceKind\":\"routes\",\"metadata\":{\"name\":\"stock\"},\"spec\":{\"host\":"
           "\"shop.example\",\"pathPrefix\":\"/stock/\",\"type\":\"safe\",\"timeoutS\":1.5,"
           "\"targetLatencyS\":0.4,\"priority\":1,\"trafficSplit\":[{\"service\":\"old\","
           "\"weight\":70},{\"service\":\"new\",\"weight\":30}],\"maxAttempts\":2}},"
        + serviceJson("old") + "," + serviceJson("new") + ","
        + limitsJson(1'048'576, idleTimeoutS);
}

} // namespace

int main(int, char **arguments)
{
    record lines(arguments[1]);
    deployment mesh(lines);
    for (int machine = 1; machine <= 3; ++machine) {
        mesh.startSource(machine, true);
    }
    std::atomic<bool> isOver{false};
    std::atomic<bool> isJudged{false};
    std::atomic<int> ranOld{0};
    std::atomic<int> ranNew{0};
    std::atomic<int> notServed{0};
    std::atomic<int> served{0};
    std::vector<std::unique_ptr<backend_server>> servers;
    std::vector<std::thread> threads;
    for (int machine = firstNode; machine <= lastNode; ++machine) {
        const std::string service = machine % 2 == 0 ? "old" : "new";
        mesh.startNode(machine, service);
        const std::string instance = "i-" + service + "-" + std::to_string(machine);
        servers.push_back(std::make_unique<backend_server>(
            mesh.ip(machine),
            mesh.upstream(),
            instance,
            [&, instance, service](const std::string &id, const std::string &, std::size_t) {
                lines.line("server %s runs %s", instance.c_str(), id.c_str());
                if (isJudged) {
                    ++(service == "old" ? ranOld : ranNew);
                }
            }));
        threads.emplace_back([&, machine, service, server = servers.back().get()] {
            while (!isOver) {
                mesh.announce(machine,
                              server->instance(),
                              server->beat(service, deployment::zone(machine), "ready"));
                std::this_thread::sleep_for(870ms);
            }
        });
        threads.emplace_back([&, machine] {
            std::this_thread::sleep_for(std::chrono::milliseconds(150 * (machine - firstNode)));
            for (int number = 1; !isOver; ++number) {
                const std::string id
                    = "request-" + std::to_string(machine) + "-" + std::to_string(number);
                const bool counts = isJudged;
                lines.line("client of machine %d sends %s, GET /stock/", machine, id.c_str());
                const answer received = call(mesh.ip(machine),
                                             mesh.outbound(),
                                             "GET",
                                             "/stock/" + std::to_string(number),
                                             "Host: shop.example\r\nX-Jackdawweir-Attempt-Id: " + id
                                                 + "\r\nX-Jackdawweir-Deadline-Ms: 1500\r\n",
                                             "");
                lines.line("client gets %d for %s", received.status, id.c_str());
                served += received.status == 200 ? 1 : 0;
                notServed += counts && received.status != 200 ? 1 : 0;
                std::this_thread::sleep_for(1500ms);
            }
        });
    }
    const auto finish = [&](int code) -> int {
        isOver = true;
        for (std::thread &each : threads) {
            each.join();
        }
        mesh.end(code);
    };
    int version = 1;
    if (!mesh.replace(version, 0, resources(15), 30)) {
        return finish(couldNotRun);
    }
    for (int machine = firstNode; machine <= lastNode; ++machine) {
        if (!mesh.awaitReady(machine, 20)) {
            return finish(couldNotRun);
        }
    }
    for (int turn = 0; turn < 300 && served < 20; ++turn) {
        std::this_thread::sleep_for(50ms);
    }
    std::this_thread::sleep_for(3s);
    // 40 s, in which the ten nodes get some 260 requests.
    const double begun = seconds();
    double next = begun;
    while (seconds() < begun + 45) {
        isJudged = seconds() > begun + 3;
        if (hasTrouble() && seconds() >= next) {
            next += 1.4;
            ++version;
            if (!mesh.replace(version, version - 1, resources(15 + version % 5), 5)) {
                return finish(couldNotRun);
            }
        }
        std::this_thread::sleep_for(20ms);
    }
    isJudged = false;
    const int all = ranOld + ranNew;
    const double share = all == 0 ? 0 : static_cast<double>(ranNew) / all;
    lines.line("%d requests ran, %d of them at `new`: %.3f, weight %.1f; %d weren't served",
               all,
               ranNew.load(),
               share,
               weightOfSecond,
               notServed.load());
    std::printf("%d requests, share of `new` %.3f, not served %d\n", all, share, notServed.load());
    if (all < 200 || notServed > 0) {
        return finish(couldNotRun);
    }
    return finish(share < weightOfSecond - 0.2 || share > weightOfSecond + 0.2 ? ruleBroken
                                                                               : ruleHeld);
}
