// Stops traffic to a failing new version based on local evidence, at a node or at the relay of a
// data centre. It needs no connection to a source.
//
//     circuit_breaker breaker({host, dataCentre, nodeBreakerSettings()});
//     breaker.handle(committed_moves{configuration.version, configuration.moves}, now);
//     breaker.handle(evidence_batch{recorder.takeInterval()}, now);
//     if (breaker.isBlocked(service, version)) { chooseOtherVersion(); }
//
// Each move has a breaker that is closed, holding or open. While it is holding, the new version
// gets no traffic until responses of the old version show whether that one fails as well. An open
// breaker closes only when a committed state ends the move: a newer share of the same move may have
// been decided without knowledge of the open breaker.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/document/move_state.h"
#include "jackdawweir/moves/messages.h"
#include "jackdawweir/moves/sequential_test.h"

namespace jackdawweir::moves {

enum class breaker_state : std::uint8_t {
    Closed,
    Holding,
    Open,
};

struct breaker_settings {
    core::host_name self;
    core::data_centre_name dataCentre;
    comparison_settings comparison;
    // An open breaker is reported this often until a committed state ends the move.
    std::chrono::milliseconds reportInterval{500};
};

// Returns comparison settings for `count` breakers in the whole system. With these settings, all
// breakers together wrongly suspect a good version no more often than one controller does.
comparison_settings breakerComparison(std::size_t count);

// Input: time has passed. Send every evidenceInterval.
struct breaker_tick {
};

// Effect: send the report to the relay (from a node), or to the source leader and the nodes of the
// data centre (from a relay).
struct send_breaker_report {
    breaker_report report;
};

// Effect: the state of a breaker has changed; for logs and metrics.
struct breaker_changed {
    std::uint64_t moveId = 0;
    core::service_name service;
    core::version_name version;
    breaker_state state = breaker_state::Closed;
    std::string reason;
};

using breaker_input = std::variant<committed_moves, evidence_batch, breaker_report, breaker_tick>;
using breaker_effect = std::variant<send_breaker_report, breaker_changed>;

class circuit_breaker
{
public:
    explicit circuit_breaker(breaker_settings settings);

    std::vector<breaker_effect> handle(const breaker_input &input, core::monotonic_time now);

    // Returns true if this version must get no requests. The old version of the move gets its
    // share.
    bool isBlocked(const core::service_name &service, const core::version_name &version) const;

    breaker_state stateOf(const core::service_name &service) const;

private:
    struct tracked_move {
        tracked_move(document::move_state committed, const comparison_settings &settings);

        document::move_state state;
        version_comparison comparison;
        breaker_state breaker = breaker_state::Closed;
        std::string reason;
        std::optional<core::monotonic_time> reportedAt;
    };

    using effects = std::vector<breaker_effect>;

    void apply(const committed_moves &input, core::monotonic_time now, effects &out);
    void apply(const evidence_batch &input, core::monotonic_time now, effects &out);
    void apply(const breaker_report &input, core::monotonic_time now, effects &out);
    void apply(const breaker_tick &input, core::monotonic_time now, effects &out);
    void
    change(tracked_move &tracked, breaker_state state, const std::string &reason, effects &out);

    breaker_settings m_settings;
    core::config_version m_version;
    std::map<core::service_name, tracked_move> m_moves;
};

} // namespace jackdawweir::moves
