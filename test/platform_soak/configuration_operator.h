// The operator of the soak: sends changes one after the other, some in races on the same
// version, some invalid, repeats those without a clear answer at other sources, and reads back.
//
//     configuration_operator sender(fleet, history, journal, seed);
//     sender.operate(isDone);

#pragma once

#include <atomic>
#include <chrono>
#include <optional>
#include <random>

#include "platform_process/mesh_fleet.h"
#include "platform_soak/configuration_history.h"
#include "platform_soak/soak_journal.h"

namespace jackdawweir::platform_soak {

enum class change_outcome : std::uint8_t {
    Accepted,
    Refused,
    // The run ended before a clear answer came.
    Unknown,
};

class configuration_operator
{
public:
    configuration_operator(const platform_process_test::mesh_fleet &fleet,
                           configuration_history &history,
                           soak_journal &journal,
                           unsigned seed);

    // Sends changes until `isDone` is set.
    void operate(const std::atomic<bool> &isDone);
    // Sends all calls to one source until 0 is set; 0 stands for any source.
    void setOnlySource(int source);
    // Reads the configuration at a source. Returns none where it gave none that was ever sent.
    std::optional<configuration_change> read(int source);

private:
    void sendOne(std::mt19937 &engine, const std::atomic<bool> &isDone);
    // Sends changes on the same version at once; at most one may be accepted.
    void sendRace(std::mt19937 &engine, const std::atomic<bool> &isDone);
    void sendInvalid(std::mt19937 &engine, const std::atomic<bool> &isDone);
    void repeatAccepted(const configuration_change &change, int source);
    void readBase(std::mt19937 &engine, const std::atomic<bool> &isDone);
    // Sends the change, unchanged, to one source after the other until it gets a clear answer.
    change_outcome
    deliver(const configuration_change &change, int firstSource, const std::atomic<bool> &isDone);
    // Returns the status; 0 where there was no response within a second.
    int sendOnce(const configuration_change &change, int source);
    int sourceFor(int drawn) const;
    route_map changedRoutes(std::size_t id, std::mt19937 &engine) const;

    const platform_process_test::mesh_fleet &m_fleet;
    configuration_history &m_history;
    soak_journal &m_journal;
    unsigned m_seed;
    std::atomic<int> m_onlySource{0};
    std::optional<configuration_change> m_base;
};

} // namespace jackdawweir::platform_soak
