#include "jackdawweir/distribution/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "jackdawweir/core/digest.h"
#include "jackdawweir/distribution/settings.h"

namespace jackdawweir::distribution {

std::vector<core::endpoint> rankByRendezvous(std::string_view key,
                                             std::vector<core::endpoint> peers)
{
    std::vector<std::pair<std::uint64_t, core::endpoint>> weighted;
    weighted.reserve(peers.size());
    for (core::endpoint &peer : peers) {
        const std::uint64_t weight = core::checksumOf(std::string(key) + "\n" + peer.value);
        weighted.emplace_back(weight, std::move(peer));
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<core::endpoint> ranked;
    ranked.reserve(weighted.size());
    for (auto &[weight, peer] : weighted) {
        ranked.push_back(std::move(peer));
    }
    return ranked;
}

std::vector<core::endpoint> chooseRelays(const core::data_centre_name &dataCentre,
                                         const std::vector<core::endpoint> &candidates)
{
    const std::size_t relayCount
        = candidates.size() >= largeDataCentreHosts ? largeRelayCount : smallRelayCount;
    std::vector<core::endpoint> chosen = rankByRendezvous(dataCentre.value, candidates);
    chosen.resize(std::min(relayCount, chosen.size()));
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace jackdawweir::distribution
