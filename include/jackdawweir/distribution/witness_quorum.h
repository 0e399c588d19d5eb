// Counts the versions that the witnesses of a data centre hold. Witnesses keep their state in
// memory only, so a state sent before a witness restarted must not be counted together with a state
// that another witness sent after it helped the first one to recover: the recovered witness may
// hold an older version than its previous incarnation reported. Each state therefore carries the
// incarnations that its witness knew, and a state of an older incarnation than the greatest known
// is ignored.

#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "jackdawweir/core/config_version.h"
#include "jackdawweir/distribution/messages.h"

namespace jackdawweir::distribution {

class witness_quorum
{
public:
    // Records the state of a witness. An older state of the same witness changes nothing.
    void add(const core::endpoint &witness, const witness_state &state);

    // Returns the number of witnesses with memory that hold this version or a newer one.
    std::size_t countAtLeast(const core::config_version &version) const;

    // Returns the greatest version of the witnesses with memory if at least `needed` of them have
    // reported, or nothing.
    std::optional<core::config_version> greatestOf(std::size_t needed) const;

    // Returns the version that a witness holds, or nothing if it has no memory or did not reply.
    std::optional<core::config_version> heldBy(const core::endpoint &witness) const;

    const incarnation_map &known() const;

    // Raises the known incarnation of a witness. Returns false if a greater one is known.
    bool raiseIncarnation(const core::endpoint &witness, std::uint64_t incarnation);

private:
    // Returns true if the state has memory and is not of an older incarnation than the known one.
    bool isCounted(const core::endpoint &witness, const witness_state &state) const;

    std::map<core::endpoint, witness_state> m_states;
    incarnation_map m_known;
};

} // namespace jackdawweir::distribution
