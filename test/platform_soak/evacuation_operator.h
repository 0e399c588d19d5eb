// The operator who evacuates data centres during a soak: one after the other, each for longer than
// the bound, with calls that are sent again to other sources while they get no clear answer.
//
//     evacuation_operator evacuations(fleet, journal, seed);
//     evacuations.operate(isDone);
//     for (const evacuation_span &each : evacuations.spans()) { ... }

#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "platform_process/mesh_fleet.h"
#include "platform_soak/disruption_log.h"
#include "platform_soak/soak_journal.h"

namespace jackdawweir::platform_soak {

// Between these times the data centre was evacuated, as its operator knows.
struct evacuation_span {
    std::string dataCentre;
    soak_time acknowledgedAt;
    // When the first call that ends it was sent.
    soak_time endSentAt;
};

class evacuation_operator
{
public:
    evacuation_operator(const platform_process_test::mesh_fleet &fleet,
                        soak_journal &journal,
                        unsigned seed);

    // Evacuates data centres until `isDone` is set, and ends the last evacuation.
    void operate(const std::atomic<bool> &isDone);

    // Begins an evacuation that lasts until end(). Returns false if it is not acknowledged in time.
    bool begin(const std::string &dataCentre);
    bool end();

    std::vector<evacuation_span> spans() const;

private:
    // Sends the same call to one source after the other. Returns false if none acknowledges it.
    bool deliver(const std::string &call, const std::string &dataCentre);

    const platform_process_test::mesh_fleet &m_fleet;
    soak_journal &m_journal;
    std::mt19937 m_engine;
    mutable std::mutex m_mutex;
    std::vector<evacuation_span> m_spans;
};

} // namespace jackdawweir::platform_soak
