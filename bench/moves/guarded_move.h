// Simulates the project's own policy: nodes with circuit breakers, one relay for each data centre
// and the move controller, with delays between them.
//
//     guarded_move policy(setup, window);
//     policy.record(call, isNew, seen);
//     policy.tick(seconds);                 // every evidenceInterval
//     const double share = policy.share(call);

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

#include <absl/strings/str_cat.h>

#include "bench/moves/fake_servers.h"
#include "bench/moves/scenario.h"
#include "jackdawweir/moves/circuit_breaker.h"
#include "jackdawweir/moves/move_controller.h"

namespace jackdawweir::bench {

// Names used by every policy.
inline const core::service_name quotes{"quotes"};
inline const core::version_name oldVersion{"v1"};
inline const core::version_name newVersion{"v2"};

// The time from a proposal until the committed state is in force on the nodes: a synced append on a
// majority of sources and a push to the nodes.
constexpr double commitSeconds = 0.4;

inline core::monotonic_time monotonicAt(double seconds)
{
    // Starts far from zero, so that a state machine that treats zero as "never" fails here.
    constexpr std::int64_t startNanos = 1'000'000'000'000;
    return core::monotonic_time(
        std::chrono::nanoseconds(startNanos + static_cast<std::int64_t>(seconds * 1e9)));
}

inline core::wall_time wallAt(double seconds)
{
    constexpr std::int64_t startNanos = 1'796'000'000'000'000'000;
    return core::wall_time(
        std::chrono::nanoseconds(startNanos + static_cast<std::int64_t>(seconds * 1e9)));
}

inline moves::evidence_key keyOf(const fake_call &call, bool isNew)
{
    return {quotes,
            isNew ? newVersion : oldVersion,
            core::route_name{absl::StrCat("route", call.route)},
            core::data_centre_name{absl::StrCat("dc", call.dataCentre)}};
}

class guarded_move
{
public:
    guarded_move(const move_setup &setup, double window)
        : m_setup(setup)
        , m_controller(moves::controller_settings{})
    {
        constexpr std::uint64_t slotsPerServer = 10;
        const std::uint64_t slots = dataCentreCount * serversPerDataCentre * slotsPerServer;
        m_committed.id = 1;
        m_committed.request = {quotes, oldVersion, newVersion, wallAt(window)};
        m_committed.acceptedAt = wallAt(0);
        const moves::comparison_settings breaker
            = moves::breakerComparison(dataCentreCount * (nodesPerDataCentre + 1));
        for (std::size_t index = 0; index < dataCentreCount; ++index) {
            m_dataCentres.emplace_back(index, breaker);
        }
        m_controller.handle(moves::announced_slots{quotes, oldVersion, slots}, monotonicAt(0));
        m_controller.handle(moves::announced_slots{quotes, newVersion, slots}, monotonicAt(0));
        publish(0);
    }

    // The share of the new version at the node that handles this call.
    double share(const fake_call &call) const
    {
        const data_centre &centre = m_dataCentres[call.dataCentre];
        const bool isBlocked = centre.nodes[call.node].breaker.isBlocked(quotes, newVersion);
        return isBlocked ? 0.0 : centre.newShareInForce / double(document::wholeShareBasisPoints);
    }

    void record(const fake_call &call, bool isNew, const moves::observation &seen)
    {
        m_dataCentres[call.dataCentre].nodes[call.node].recorder.record(keyOf(call, isNew), seen);
    }

    void tick(double seconds)
    {
        commitDueProposals(seconds);
        std::vector<moves::evidence_cell> arriving = std::move(m_evidenceToLeader);
        m_evidenceToLeader.clear();
        if (!arriving.empty()) {
            m_controller.handle(moves::evidence_batch{std::move(arriving)}, monotonicAt(seconds));
        }
        for (data_centre &centre : m_dataCentres) {
            tickDataCentre(centre, seconds);
        }
        for (const moves::move_effect &effect :
             m_controller.handle(moves::controller_tick{wallAt(seconds)}, monotonicAt(seconds))) {
            m_proposals.push_back(
                {seconds + commitSeconds, std::get<moves::propose_decision>(effect).decision});
        }
    }

    const document::move_state &committed() const
    {
        return m_committed;
    }

private:
    struct node {
        node(const std::string &name,
             const core::data_centre_name &dataCentreName,
             const moves::comparison_settings &settings)
            : breaker(
                {core::host_name{name}, dataCentreName, settings, std::chrono::milliseconds(500)})
        {
        }

        moves::evidence_recorder recorder;
        moves::circuit_breaker breaker;
    };

    struct data_centre {
        data_centre(std::size_t number, const moves::comparison_settings &settings)
            : index(number)
            , name{absl::StrCat("dc", number)}
            , relay({core::host_name{absl::StrCat("relay", number)},
                     name,
                     settings,
                     std::chrono::milliseconds(500)})
        {
            for (std::size_t each = 0; each < nodesPerDataCentre; ++each) {
                nodes.emplace_back(absl::StrCat("node", number, "-", each), name, settings);
            }
        }

        std::size_t index;
        core::data_centre_name name;
        std::vector<node> nodes;
        moves::circuit_breaker relay;
        double newShareInForce = 0;
        std::uint64_t version = 0;
    };

    struct pending_proposal {
        double committedAt;
        document::move_decision decision;
    };

    bool isPartitioned(const data_centre &centre, double seconds) const
    {
        return centre.index == 0 && seconds >= m_setup.partitionStart
            && seconds < m_setup.partitionEnd;
    }

    void commitDueProposals(double seconds)
    {
        while (!m_proposals.empty() && m_proposals.front().committedAt <= seconds) {
            const document::move_decision decision = m_proposals.front().decision;
            m_proposals.pop_front();
            if (decision.expectedPhase != m_committed.phase
                || decision.expectedShareBasisPoints != m_committed.newShareBasisPoints) {
                continue;
            }
            m_committed.phase = decision.phase;
            m_committed.newShareBasisPoints = decision.newShareBasisPoints;
            m_committed.reason = decision.reason;
            publish(seconds);
        }
    }

    moves::committed_moves published() const
    {
        return {core::config_version{1, m_version, {}}, {m_committed}};
    }

    void publish(double seconds)
    {
        ++m_version;
        m_controller.handle(published(), monotonicAt(seconds));
        for (data_centre &centre : m_dataCentres) {
            if (!isPartitioned(centre, seconds)) {
                activate(centre, seconds);
            }
        }
    }

    void activate(data_centre &centre, double seconds)
    {
        centre.version = m_version;
        centre.newShareInForce = m_committed.newShareBasisPoints;
        centre.relay.handle(published(), monotonicAt(seconds));
        for (node &each : centre.nodes) {
            each.breaker.handle(published(), monotonicAt(seconds));
        }
    }

    void tickDataCentre(data_centre &centre, double seconds)
    {
        const core::monotonic_time now = monotonicAt(seconds);
        const bool isCutOff = isPartitioned(centre, seconds);
        if (!isCutOff && centre.version < m_version) {
            activate(centre, seconds);
        }
        moves::evidence_recorder sum;
        for (node &each : centre.nodes) {
            std::vector<moves::evidence_cell> cells = each.recorder.takeInterval();
            if (!cells.empty()) {
                sum.merge(cells);
                handleNode(centre, each.breaker.handle(moves::evidence_batch{cells}, now), now);
            } else {
                handleNode(centre, each.breaker.handle(moves::breaker_tick{}, now), now);
            }
        }
        std::vector<moves::evidence_cell> cells = sum.takeInterval();
        if (!cells.empty()) {
            handleRelay(
                centre, centre.relay.handle(moves::evidence_batch{cells}, now), now, isCutOff);
        }
        handleRelay(centre, centre.relay.handle(moves::breaker_tick{}, now), now, isCutOff);
        if (!isCutOff) {
            m_evidenceToLeader.insert(m_evidenceToLeader.end(), cells.begin(), cells.end());
        }
    }

    static void handleNode(data_centre &centre,
                           const std::vector<moves::breaker_effect> &effects,
                           core::monotonic_time now)
    {
        for (const moves::breaker_effect &effect : effects) {
            if (const auto *sent = std::get_if<moves::send_breaker_report>(&effect)) {
                centre.relay.handle(sent->report, now);
            }
        }
    }

    void handleRelay(data_centre &centre,
                     const std::vector<moves::breaker_effect> &effects,
                     core::monotonic_time now,
                     bool isCutOff)
    {
        for (const moves::breaker_effect &effect : effects) {
            const auto *sent = std::get_if<moves::send_breaker_report>(&effect);
            if (sent == nullptr) {
                continue;
            }
            for (node &each : centre.nodes) {
                each.breaker.handle(sent->report, now);
            }
            if (!isCutOff) {
                m_controller.handle(sent->report, now);
            }
        }
    }

    const move_setup &m_setup;
    moves::move_controller m_controller;
    document::move_state m_committed;
    std::uint64_t m_version = 0;
    std::vector<data_centre> m_dataCentres;
    std::vector<moves::evidence_cell> m_evidenceToLeader;
    std::deque<pending_proposal> m_proposals;
};

} // namespace jackdawweir::bench
