// One run of the soak test: mesh processes on loopback, backend servers behind fault proxies,
// callers and an operator, and the responses that they got.
//
//     soak_run soak(seed, fault_plan::AnyProcess);
//     const std::vector<std::string> violations = soak.run(std::chrono::seconds(10));

#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "platform_process/mesh_fleet.h"
#include "platform_soak/backend_server.h"
#include "platform_soak/configuration_history.h"
#include "platform_soak/configuration_operator.h"
#include "platform_soak/disruption_log.h"
#include "platform_soak/evacuation_operator.h"
#include "platform_soak/fault_proxy.h"
#include "platform_soak/process_control.h"
#include "platform_soak/server_lifecycle.h"
#include "platform_soak/soak_journal.h"

namespace jackdawweir::platform_soak {

using soak_clock = std::chrono::steady_clock;

// The response to one request as its caller observed it.
struct observed_response {
    std::string id;
    std::string target;
    // 0 where the connection ended without a response.
    unsigned status = 0;
    std::string body;
};

// Which faults a run injects.
enum class fault_plan : std::uint8_t {
    // Faults of any process and link at random, without calm times.
    AnyProcess,
    // Overlapping faults of the sources, with calm times.
    Core,
    // Faults of the links between mesh processes, with calm times.
    Links,
    // Short cuts of nodes, and data centres that are cut off and lose their processes and a disk.
    Cuts,
    // Faults of any process and link at random while data centres are evacuated.
    Evacuations,
};

class soak_run
{
public:
    soak_run(unsigned seed, fault_plan plan);
    ~soak_run();
    soak_run(const soak_run &) = delete;
    soak_run &operator=(const soak_run &) = delete;

    // Injects faults for the given time. Returns the violated guarantees, one line each.
    std::vector<std::string> run(std::chrono::seconds time);

    std::size_t requests() const;
    std::size_t answered() const;
    std::size_t acceptedChanges() const;
    // Returns how many probe requests the bound on the time to apply a change covered, without and
    // with its stretch by an unstable core.
    std::array<std::size_t, 2> boundedProbes() const;
    std::size_t evacuations() const;
    std::filesystem::path keepFolder();

private:
    // Ends a fault at a set time.
    struct planned_end {
        soak_clock::time_point at;
        std::function<void()> function;
    };

    void start();
    void runCaller(unsigned caller);
    void injectFaults(soak_clock::time_point until);
    void beginRandomFault();
    void beginProcessFault(const std::string &ip);
    void endDueFaults(soak_clock::time_point until);
    void restart(const std::string &ip);
    void checkExitAndRestart(const std::string &ip);
    // Kills all sources and the node of a server that has just left at the same moment, and starts
    // them again within a second.
    void killAroundALeave();
    void checkRecovery();
    // Checks that every node reaches all nodes that are listed.
    void checkReachability(soak_clock::time_point until);
    // Kills all sources right after an evacuation was acknowledged, and observes it afterwards.
    void restartDuringAnEvacuation();
    // Checks that no server of an evacuated data centre got a request after the bound.
    void checkEvacuations();
    void checkReadAfterRestart();
    // Checks what operators and probes saw. `newest` is the change that was read last.
    void checkConfigurations(std::size_t newest);
    void checkResponses();
    void checkLeaves();
    void addViolation(std::string line);
    void endThreads();
    unsigned randomBelow(unsigned limit);
    std::string randomProcess();

    unsigned m_seed;
    fault_plan m_plan;
    std::mt19937 m_engine;
    platform_process_test::mesh_fleet m_fleet;
    soak_journal m_journal;
    disruption_log m_disruptions;
    process_control m_control;
    configuration_history m_history;
    configuration_operator m_operator;
    evacuation_operator m_evacuations;
    std::atomic<bool> m_areEvacuationsDone{false};
    std::thread m_evacuationThread;
    recorded_runs m_runs;
    std::vector<std::unique_ptr<backend_server>> m_backends;
    std::vector<std::unique_ptr<fault_proxy>> m_proxies;
    std::vector<std::unique_ptr<server_lifecycle>> m_lifecycles;
    std::atomic<bool> m_isDone{false};
    std::vector<std::thread> m_threads;
    std::vector<planned_end> m_plannedEnds;
    // Processes that are stopping, paused or down; they get no second fault meanwhile.
    std::set<std::string> m_faultyProcesses;
    mutable std::mutex m_mutex;
    std::vector<observed_response> m_responses;
    std::array<std::size_t, 2> m_boundedProbes{0, 0};
    std::vector<std::string> m_violations;
};

} // namespace jackdawweir::platform_soak
