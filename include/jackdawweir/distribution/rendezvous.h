// Rendezvous hashing: every process ranks the same peers in the same order for a key without
// talking to the others, and a peer that goes away moves only its own keys.
//
//     const std::vector<core::endpoint> ranked = rankByRendezvous(host.value, relays);

#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "jackdawweir/core/names.h"

namespace jackdawweir::distribution {

// Returns the peers, the best for the key first.
std::vector<core::endpoint> rankByRendezvous(std::string_view key,
                                             std::vector<core::endpoint> peers);

// Returns the relays of a data centre, sorted: the first by rank among its candidates.
std::vector<core::endpoint> chooseRelays(const core::data_centre_name &dataCentre,
                                         const std::vector<core::endpoint> &candidates);

} // namespace jackdawweir::distribution
