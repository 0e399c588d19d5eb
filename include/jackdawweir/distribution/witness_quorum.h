// Counts what the witnesses of a data centre state. Witnesses keep their state in memory only, so a
// statement made before a witness restarted must not be counted together with one that a peer made
// after it helped that witness to recover: the recovered witness may know less than its former
// self stated. Each statement therefore carries the incarnations its witness knew of, and a
// statement of an older incarnation than any known is dropped.

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
    // Takes a statement. An older one of the same witness changes nothing.
    void add(const core::endpoint &witness, const witness_state &state);

    // Returns how many witnesses with memory hold this version or a newer one.
    std::size_t countAtLeast(const core::config_version &version) const;

    // Returns the greatest version of the witnesses with memory if at least `needed` have stated
    // theirs.
    std::optional<core::config_version> greatestOf(std::size_t needed) const;

    // Returns the version that a witness holds, or nothing if it has no memory or did not answer.
    std::optional<core::config_version> heldBy(const core::endpoint &witness) const;

    const incarnation_map &known() const;

    // Raises the incarnation that is known of a witness. Returns false if a later one is known.
    bool raise(const core::endpoint &witness, std::uint64_t incarnation);

private:
    bool counts(const core::endpoint &witness, const witness_state &state) const;

    std::map<core::endpoint, witness_state> m_states;
    incarnation_map m_known;
};

} // namespace jackdawweir::distribution
