// Rendezvous hashing: every process ranks the same peers in the same order for a key without
// communication, and removing a peer reassigns only the keys of that peer.
//
//     const std::vector<core::endpoint> ranked = rankByRendezvous(host.value, relays);

#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "jackdawweir/core/names.h"

namespace jackdawweir::distribution {

// Returns the peers by descending rank for the key.
std::vector<core::endpoint> rankByRendezvous(std::string_view key,
                                             std::vector<core::endpoint> peers);

// Returns the relays of a data centre, which are its highest-ranked candidates, sorted by endpoint.
std::vector<core::endpoint> chooseRelays(const core::data_centre_name &dataCentre,
                                         const std::vector<core::endpoint> &candidates);

} // namespace jackdawweir::distribution
