#include "jackdawweir/distribution/witness_quorum.h"

#include <algorithm>

namespace jackdawweir::distribution {

void witness_quorum::add(const core::endpoint &witness, const witness_state &state)
{
    for (const auto &[other, incarnation] : state.known) {
        raiseIncarnation(other, incarnation);
    }
    if (!raiseIncarnation(witness, state.incarnation)) {
        return;
    }
    witness_state &stored = m_states[witness];
    const bool isNewer = state.incarnation > stored.incarnation
        || (state.hasMemory && (!stored.hasMemory || state.held >= stored.held));
    if (isNewer) {
        stored = state;
    }
}

std::size_t witness_quorum::countAtLeast(const core::config_version &version) const
{
    return static_cast<std::size_t>(
        std::count_if(m_states.begin(), m_states.end(), [&](const auto &each) {
            return isCounted(each.first, each.second) && each.second.held >= version;
        }));
}

std::optional<core::config_version> witness_quorum::greatestOf(std::size_t needed) const
{
    std::size_t counted = 0;
    core::config_version greatest;
    for (const auto &[witness, state] : m_states) {
        if (isCounted(witness, state)) {
            ++counted;
            greatest = std::max(greatest, state.held);
        }
    }
    if (counted < needed) {
        return std::nullopt;
    }
    return greatest;
}

std::optional<core::config_version> witness_quorum::heldBy(const core::endpoint &witness) const
{
    const auto found = m_states.find(witness);
    if (found == m_states.end() || !isCounted(witness, found->second)) {
        return std::nullopt;
    }
    return found->second.held;
}

const incarnation_map &witness_quorum::known() const
{
    return m_known;
}

bool witness_quorum::raiseIncarnation(const core::endpoint &witness, std::uint64_t incarnation)
{
    std::uint64_t &latest = m_known[witness];
    if (incarnation < latest) {
        return false;
    }
    latest = incarnation;
    return true;
}

bool witness_quorum::isCounted(const core::endpoint &witness, const witness_state &state) const
{
    const auto latest = m_known.find(witness);
    const bool isLatest = latest == m_known.end() || state.incarnation >= latest->second;
    return state.hasMemory && isLatest;
}

} // namespace jackdawweir::distribution
