// Injects overlapping faults into the sources, and some into nodes, with calm times between them in
// which the bounds of the rules hold.
//
//     core_faults faults(fleet, control, sender, history, seed);
//     faults.inject(until);

#pragma once

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "platform_process/mesh_fleet.h"
#include "platform_soak/configuration_history.h"
#include "platform_soak/configuration_operator.h"
#include "platform_soak/process_control.h"

namespace jackdawweir::platform_soak {

class core_faults
{
public:
    core_faults(platform_process_test::mesh_fleet &fleet,
                process_control &control,
                configuration_operator &sender,
                const configuration_history &history,
                unsigned seed);

    void inject(soak_time until);

private:
    void restartWhileAnotherIsFrozen();
    // Freezes one source while calls are open at a follower, which is killed and restarted at once.
    void restartUnderOpenCalls();
    void killAllAfterAnAcknowledgement();
    void restartNode();
    // Restarts a source at once while another one stays down, so that two of three run.
    void restartWhileAnotherIsDown();
    void freezeNode();
    void freezeMajority();
    void loseDisk();
    // Returns the source whose log shows the latest change to the leader's role; 1 before any.
    int leader() const;
    int otherThan(int source);
    std::chrono::milliseconds between(unsigned least, unsigned most);
    void wait(unsigned least, unsigned most);

    platform_process_test::mesh_fleet &m_fleet;
    process_control &m_control;
    configuration_operator &m_sender;
    const configuration_history &m_history;
    std::mt19937 m_engine;
    soak_time m_nextDiskLoss;
};

} // namespace jackdawweir::platform_soak
