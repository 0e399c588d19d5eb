// Judges what operators and probe requests saw by the rules for configurations, with the bounds of
// the operators' pages. The configurations that were in force are those from which the last one
// that was read descends.
//
//     configuration_checks checks(history, disruptions, fleet);
//     const std::vector<std::string> violations = checks.violations(newest.id);

#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform_process/mesh_fleet.h"
#include "platform_soak/configuration_history.h"
#include "platform_soak/disruption_log.h"

namespace jackdawweir::platform_soak {

class configuration_checks
{
public:
    configuration_checks(const configuration_history &history,
                         const disruption_log &disruptions,
                         const platform_process_test::mesh_fleet &fleet);

    // Returns the violations, one line each. `newest` is the change that was read at the end.
    std::vector<std::string> violations(std::size_t newest);
    // Returns how many handled probe requests the bound on the time to apply a change covered,
    // without and with its stretch by an unstable core.
    std::array<std::size_t, 2> boundedProbes() const;

private:
    // Positions in the line of configurations that allow what happened to a request.
    struct allowed_positions {
        std::size_t least = 0;
        std::size_t most = 0;
    };

    // How often requests of a service were served, on the first routes and on added ones.
    struct served_counts {
        std::size_t requests = 0;
        std::size_t served = 0;
    };

    void findLine(std::size_t newest);
    void checkChanges();
    void checkAnswerTimes();
    void checkReads();
    void checkProbe(const probe_result &probe);
    void checkRegressions();
    void checkAddedRoutes();
    bool isHandled(const probe_result &probe) const;
    std::optional<allowed_positions> allowedPositions(const probe_result &probe) const;
    // Returns the service of the prefix at a position; none where it is not routed.
    std::optional<std::string> serviceAt(std::size_t position, const std::string &prefix) const;
    // Returns the position of the newest change that was acknowledged before the time.
    std::size_t newestAcknowledged(soak_time before) const;
    // Returns the position that a machine must have applied for the request; 0 where no bound
    // applies.
    std::size_t requiredPosition(const probe_result &probe);
    // Returns the only service that configurations in force at the time may give to the prefix.
    std::optional<std::string> certainService(const probe_result &probe) const;
    std::string describe(const probe_result &probe) const;
    std::string describe(std::size_t position) const;

    const disruption_log &m_disruptions;
    const platform_process_test::mesh_fleet &m_fleet;
    std::vector<sent_change> m_changes;
    std::vector<configuration_read> m_reads;
    std::vector<probe_result> m_probes;
    // The changes that were in force, the oldest first; indices into m_changes.
    std::vector<std::size_t> m_line;
    // Positions in the line by the index of the change.
    std::map<std::size_t, std::size_t> m_positions;
    std::array<std::size_t, 2> m_bounded{0, 0};
    std::vector<std::string> m_violations;
};

} // namespace jackdawweir::platform_soak
