#include "jackdawweir/moves/circuit_breaker.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::moves {

namespace {

bool endsMove(document::move_phase phase)
{
    return phase != document::move_phase::Running && phase != document::move_phase::Done;
}

breaker_state stateFor(comparison_verdict verdict)
{
    switch (verdict) {
    case comparison_verdict::Clear:
        return breaker_state::Closed;
    case comparison_verdict::Suspect:
        return breaker_state::Holding;
    case comparison_verdict::Bad:
        return breaker_state::Open;
    }
    return breaker_state::Closed;
}

} // namespace

comparison_settings breakerComparison(std::size_t count)
{
    comparison_settings settings;
    const auto breakers = static_cast<double>(std::max<std::size_t>(count, 1));
    settings.falseSuspicion /= breakers;
    settings.falseSuspicionInTrial /= breakers;
    settings.oddsAgainstShared *= breakers;
    settings.oddsAgainstSharedAgain *= breakers;
    return settings;
}

circuit_breaker::tracked_move::tracked_move(document::move_state committed,
                                            const comparison_settings &settings)
    : state(std::move(committed))
    , comparison(settings)
{
}

circuit_breaker::circuit_breaker(breaker_settings settings)
    : m_settings(std::move(settings))
{
}

std::vector<breaker_effect> circuit_breaker::handle(const breaker_input &input,
                                                    core::monotonic_time now)
{
    effects out;
    std::visit([&](const auto &each) { apply(each, now, out); }, input);
    return out;
}

bool circuit_breaker::isBlocked(const core::service_name &service,
                                const core::version_name &version) const
{
    const auto found = m_moves.find(service);
    return found != m_moves.end() && found->second.breaker != breaker_state::Closed
        && found->second.state.request.to == version;
}

breaker_state circuit_breaker::stateOf(const core::service_name &service) const
{
    const auto found = m_moves.find(service);
    return found == m_moves.end() ? breaker_state::Closed : found->second.breaker;
}

void circuit_breaker::apply(const committed_moves &input, core::monotonic_time, effects &out)
{
    if (input.version < m_version) {
        return;
    }
    m_version = input.version;
    std::map<core::service_name, tracked_move> activeMoves;
    for (const document::move_state &state : input.moves) {
        if (endsMove(state.phase)) {
            continue;
        }
        const auto found = m_moves.find(state.request.service);
        const bool isSame = found != m_moves.end() && found->second.state.id == state.id;
        if (!isSame) {
            activeMoves.emplace(state.request.service, tracked_move(state, m_settings.comparison));
            continue;
        }
        found->second.state = state;
        activeMoves.insert(m_moves.extract(found));
    }
    for (auto &[service, ended] : m_moves) {
        if (ended.breaker != breaker_state::Closed) {
            change(ended, breaker_state::Closed, "a committed state ends the move", out);
        }
    }
    m_moves = std::move(activeMoves);
}

void circuit_breaker::apply(const evidence_batch &input, core::monotonic_time now, effects &out)
{
    for (auto &[service, tracked] : m_moves) {
        const document::move_request &request = tracked.state.request;
        tracked.comparison.add(samplesOf(input.cells, service, request.from, request.to), now);
        const breaker_state next = stateFor(tracked.comparison.verdict());
        if (tracked.breaker != breaker_state::Open && tracked.breaker != next) {
            change(tracked, next, tracked.comparison.explanation(), out);
        }
    }
    apply(breaker_tick{}, now, out);
}

void circuit_breaker::apply(const breaker_report &input, core::monotonic_time now, effects &out)
{
    const auto found = m_moves.find(input.service);
    const bool isRelevant = found != m_moves.end() && found->second.state.id == input.moveId
        && input.reporter != m_settings.self;
    if (isRelevant && found->second.breaker != breaker_state::Open) {
        change(found->second, breaker_state::Open, input.reason, out);
        apply(breaker_tick{}, now, out);
    }
}

void circuit_breaker::apply(const breaker_tick &, core::monotonic_time now, effects &out)
{
    for (auto &[service, tracked] : m_moves) {
        const bool isDue
            = !tracked.reportedAt || now - *tracked.reportedAt >= m_settings.reportInterval;
        if (tracked.breaker != breaker_state::Open || !isDue) {
            continue;
        }
        tracked.reportedAt = now;
        out.emplace_back(send_breaker_report{{m_settings.self,
                                              m_settings.dataCentre,
                                              tracked.state.id,
                                              service,
                                              tracked.state.request.to,
                                              tracked.reason}});
    }
}

void circuit_breaker::change(tracked_move &tracked,
                             breaker_state state,
                             const std::string &reason,
                             effects &out)
{
    tracked.breaker = state;
    tracked.reason = reason;
    out.emplace_back(breaker_changed{
        tracked.state.id, tracked.state.request.service, tracked.state.request.to, state, reason});
}

} // namespace jackdawweir::moves
