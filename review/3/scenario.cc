// A server deregisters, which its node acknowledges, and serves on for some seconds. All processes of
// the core and the node beside that server are killed at the same moment and are back within a
// second. A heartbeat that the server sent before it deregistered arrives late, after that.

#include "mesh.hh"

using namespace review;

namespace {

constexpr int leavingMachine = 4; // zone-a
constexpr int stayingMachine = 5; // zone-b
constexpr int callingMachine = 6; // zone-c
constexpr int idleMachine = 8; // zone-b
constexpr double drainS = 2;
constexpr double livenessS = 3;

} // namespace

int main(int, char **arguments)
{
    record lines(arguments[1]);
    deployment mesh(lines);
    for (int machine = 1; machine <= 3; ++machine) {
        mesh.startSource(machine, true);
    }
    mesh.startNode(leavingMachine, "stock");
    mesh.startNode(stayingMachine, "stock");
    mesh.startNode(callingMachine, "desk");
    mesh.startNode(idleMachine, "desk");

    std::atomic<double> acknowledgedAt{0};
    std::atomic<double> judgedFrom{1e9};
    std::atomic<int> late{0};
    std::atomic<int> ranAtLeaving{0};
    const auto serverAt = [&](int machine, const char *instance, bool leaves) {
        return std::make_unique<backend_server>(
            mesh.ip(machine),
            mesh.upstream(),
            instance,
            [&, leaves, instance](const std::string &id, const std::string &, std::size_t) {
                const double now = seconds();
                lines.line("server %s runs %s", instance, id.c_str());
                ranAtLeaving += leaves ? 1 : 0;
                if (leaves && acknowledgedAt > 0 && now > acknowledgedAt + drainS
                    && now > judgedFrom) {
                    ++late;
                    lines.line("late: %.3f s after the acknowledgement", now - acknowledgedAt);
                }
            });
    };
    const auto leaving = serverAt(leavingMachine, "i-leaving", true);
    const auto staying = serverAt(stayingMachine, "i-staying", false);
    std::atomic<bool> isOver{false};
    std::atomic<bool> hasLeft{false};
    std::thread beats([&] {
        while (!isOver) {
            mesh.announce(
                stayingMachine, staying->instance(), staying->beat("stock", "zone-b", "ready"));
            if (!hasLeft) {
                mesh.announce(
                    leavingMachine, leaving->instance(), leaving->beat("stock", "zone-a", "ready"));
            }
            std::this_thread::sleep_for(870ms);
        }
    });
    std::atomic<int> served{0};
    std::thread client([&] {
        for (int number = 1; !isOver; ++number) {
            const std::string id = "request-" + std::to_string(number);
            lines.line("client of machine %d sends %s, GET /stock/", callingMachine, id.c_str());
            const answer received = call(mesh.ip(callingMachine),
                                         mesh.outbound(),
                                         "GET",
                                         "/stock/" + std::to_string(number),
                                         "Host: shop.example\r\nX-Jackdawweir-Attempt-Id: " + id
                                             + "\r\nX-Jackdawweir-Deadline-Ms: 1500\r\n",
                                         "");
            lines.line("client gets %d for %s", received.status, id.c_str());
            served += received.status == 200 ? 1 : 0;
            std::this_thread::sleep_for(30ms);
        }
    });
    const auto finish = [&](int code) -> int {
        isOver = true;
        beats.join();
        client.join();
        mesh.end(code);
    };
    const std::string resources = routeJson("stock", "/stock/", "safe", "stock") + ","
        + serviceJson("stock") + "," + limitsJson(1'048'576);
    if (!mesh.replace(1, 0, resources, 30) || !mesh.awaitReady(callingMachine, 20)) {
        return finish(couldNotRun);
    }
    for (int turn = 0; turn < 200 && (served < 50 || ranAtLeaving < 5); ++turn) {
        std::this_thread::sleep_for(50ms);
    }
    if (served < 50 || ranAtLeaving < 5) {
        return finish(couldNotRun);
    }
    // Calm for longer than livenessS before the server leaves.
    std::this_thread::sleep_for(4s);
    hasLeft = true;
    std::this_thread::sleep_for(1s);
    const std::string lateBeat = leaving->beat("stock", "zone-a", "ready");
    lines.line("server i-leaving sends a last heartbeat (ready), which is held up on its way");
    const answer left = call(mesh.ip(leavingMachine),
                             mesh.admin(),
                             "POST",
                             "/Instances.Deregister/i-leaving",
                             "Host: node\r\nContent-Type: application/json\r\n",
                             leaving->farewell(),
                             1);
    acknowledgedAt = seconds();
    lines.line("server i-leaving deregisters: %d", left.status);
    if (left.status != 200) {
        return finish(couldNotRun);
    }
    // The sources get the departure with the next report of the node, within 0.4 s.
    std::this_thread::sleep_for(1s);
    if (hasTrouble()) {
        for (const int machine : {1, 2, 3, leavingMachine}) {
            mesh.kill(machine);
        }
        std::this_thread::sleep_for(500ms);
        for (int machine = 1; machine <= 3; ++machine) {
            mesh.startSource(machine, false);
        }
        mesh.startNode(leavingMachine, "stock");
    }
    const double backAt = seconds();
    std::this_thread::sleep_for(1500ms);
    // 3 s after it was sent.
    const answer beaten = mesh.announce(leavingMachine, "i-leaving", lateBeat);
    lines.line("the heartbeat that was held up arrives, %.1f s late: %d",
               seconds() - acknowledgedAt,
               beaten.status);
    // All machines are in touch again livenessS after the last start; a second is added.
    judgedFrom = backAt + livenessS + 1;
    while (seconds() < judgedFrom + 3) {
        std::this_thread::sleep_for(50ms);
    }
    lines.line("server i-leaving ends, %.1f s after the acknowledgement",
               seconds() - acknowledgedAt);
    const bool isServed = mesh.isReady(callingMachine) && mesh.isReady(leavingMachine);
    lines.line("%d requests reached the server later than drainS after the acknowledgement, from "
               "machines in touch",
               late.load());
    std::printf("%d late requests\n", late.load());
    return finish(late > 0 ? ruleBroken : isServed ? ruleHeld : couldNotRun);
}
