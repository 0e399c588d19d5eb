// One run of the soak: mesh processes on loopback, backend servers behind fault proxies, callers
// and an operator, and what they saw.
//
//     soak_world world(seed);
//     const std::vector<std::string> violations = world.run(std::chrono::seconds(10));

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
#include "platform_soak/backend.h"
#include "platform_soak/fault_proxy.h"
#include "platform_soak/server_life.h"

namespace jackdawweir::platform_soak {

using soak_clock = std::chrono::steady_clock;

// What one caller saw of one request.
struct seen_answer {
    std::string id;
    std::string target;
    // 0 where the connection ended without a response.
    unsigned status = 0;
    std::string body;
};

class soak_world
{
public:
    static constexpr int nodeCount = 4;

    explicit soak_world(unsigned seed);
    ~soak_world();
    soak_world(const soak_world &) = delete;
    soak_world &operator=(const soak_world &) = delete;

    // Plays faults for the time and returns what broke a promise, one line each.
    std::vector<std::string> run(std::chrono::seconds time);

    std::size_t requests() const;
    std::size_t answered() const;
    std::uint64_t acceptedChanges() const;
    std::filesystem::path keepFolder();

private:
    // A fault that ends at a set time.
    struct planned_end {
        soak_clock::time_point at;
        std::function<void()> function;
    };

    void start();
    void call(unsigned caller);
    void operate();
    void change(std::uint64_t &base);
    std::optional<std::uint64_t> read(int source);
    void playFaults(soak_clock::time_point until);
    void beginFault();
    void beginProcessFault(const std::string &ip);
    void endFaults(soak_clock::time_point until);
    void restart(const std::string &ip);
    void stopAndRestart(const std::string &ip);
    void checkRecovery();
    void checkFinalRead();
    void checkAnswers();
    void checkLeaves();
    void violate(std::string line);
    void endThreads();
    unsigned draw(unsigned limit);
    std::string anyProcess();

    unsigned m_seed;
    std::mt19937 m_engine;
    platform_process_test::mesh_fleet m_fleet;
    recorded_runs m_runs;
    std::vector<std::unique_ptr<backend>> m_backends;
    std::vector<std::unique_ptr<fault_proxy>> m_proxies;
    std::vector<std::unique_ptr<server_life>> m_lives;
    std::atomic<bool> m_isDone{false};
    std::vector<std::thread> m_threads;
    std::vector<planned_end> m_ends;
    // Processes that are stopped, paused or down, which get no second fault.
    std::set<std::string> m_disturbed;
    mutable std::mutex m_mutex;
    std::vector<seen_answer> m_answers;
    std::map<std::uint64_t, std::string> m_sentChanges;
    std::atomic<std::uint64_t> m_accepted{0};
    std::vector<std::string> m_violations;
};

} // namespace jackdawweir::platform_soak
