// The baseline policies that the project's own policy is compared with.
//
//     fixed_steps policy(setup, window);    // same interface as guarded_move

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "bench/moves/guarded_move.h"

namespace jackdawweir::bench {

// Raises the share in steps at equal intervals. Reverts when the new version's failure rate over
// the last minute exceeds the threshold.
class fixed_steps
{
public:
    fixed_steps(const move_setup &, double window)
        : m_window(window)
    {
    }

    double share(const fake_call &) const
    {
        return m_state.newShareBasisPoints / double(document::wholeShareBasisPoints);
    }

    void record(const fake_call &, bool isNew, const moves::observation &seen)
    {
        if (!isNew) {
            return;
        }
        ++m_currentTick.responses;
        if (seen.origin != moves::fault_origin::None || seen.latency > slowLimit) {
            ++m_currentTick.failed;
        }
    }

    void tick(double seconds)
    {
        m_recent.push_back(m_currentTick);
        m_sum.responses += m_currentTick.responses;
        m_sum.failed += m_currentTick.failed;
        m_currentTick = {};
        if (m_recent.size() > ticksPerMinute) {
            m_sum.responses -= m_recent.front().responses;
            m_sum.failed -= m_recent.front().failed;
            m_recent.pop_front();
        }
        if (m_state.phase == document::move_phase::Reverted
            || m_state.phase == document::move_phase::RevertedAfterDone) {
            return;
        }
        if (m_sum.responses >= minResponses && m_sum.failed > errorThreshold * m_sum.responses) {
            m_revertAt = m_revertAt < 0 ? seconds + commitSeconds : m_revertAt;
        }
        if (m_revertAt >= 0 && seconds >= m_revertAt) {
            const bool wasDone = m_state.phase == document::move_phase::Done;
            m_state.phase = wasDone ? document::move_phase::RevertedAfterDone
                                    : document::move_phase::Reverted;
            m_state.newShareBasisPoints = 0;
            return;
        }
        step(seconds);
    }

    const document::move_state &committed() const
    {
        return m_state;
    }

private:
    struct response_count {
        double responses = 0;
        double failed = 0;
    };

    static constexpr std::array<std::uint32_t, 5> steps{100, 500, 2500, 5000, 10000};
    static constexpr double errorThreshold = 0.05;
    static constexpr double minResponses = 5;
    static constexpr std::size_t ticksPerMinute = 240;
    static constexpr std::chrono::milliseconds slowLimit{500};

    void step(double seconds)
    {
        const auto index = static_cast<std::size_t>(seconds / m_window * steps.size());
        m_state.newShareBasisPoints = steps[std::min(index, steps.size() - 1)];
        if (index >= steps.size() - 1) {
            m_state.phase = document::move_phase::Done;
        }
    }

    double m_window;
    double m_revertAt = -1;
    document::move_state m_state;
    response_count m_currentTick;
    response_count m_sum;
    std::deque<response_count> m_recent;
};

// Sends all traffic to the new version at once and never reverts.
class immediate_move
{
public:
    immediate_move(const move_setup &, double)
    {
        m_state.phase = document::move_phase::Done;
        m_state.newShareBasisPoints = document::wholeShareBasisPoints;
    }

    double share(const fake_call &) const
    {
        return 1.0;
    }

    void record(const fake_call &, bool, const moves::observation &)
    {
    }

    void tick(double)
    {
    }

    const document::move_state &committed() const
    {
        return m_state;
    }

private:
    document::move_state m_state;
};

} // namespace jackdawweir::bench
