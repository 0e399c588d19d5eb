// The peers that a subscriber may use, ranked, with back-off for those that failed.

#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/distribution/settings.h"

namespace jackdawweir::distribution {

// One peer that is due for a heartbeat.
struct due_peer {
    core::endpoint address;
    // The best ranked peer in use, which pushes.
    bool isFirst = false;
};

class peer_set
{
public:
    // Uses the best `wanted` of the peers that did not fail. A peer that failed is probed after its
    // back-off, beside those in use, so that a dead one does not keep a place from a live one.
    peer_set(std::vector<core::endpoint> ranked, std::size_t wanted);

    // Returns the peers to send a heartbeat to now. Peers silent for peerTimeout back off.
    std::vector<due_peer> takeDue(core::monotonic_time now, core::random_engine &engine);

    // A reply of any kind.
    void answered(const core::endpoint &peer, core::monotonic_time now);

    // A failure: the peer is not used until its back-off ends. Unknown peers are ignored.
    void failed(const core::endpoint &peer, core::monotonic_time now, core::random_engine &engine);

    // Returns true if any peer answered within peerTimeout.
    bool isAnswering(core::monotonic_time now) const;

    // Returns true if each peer failed at least once since it last answered.
    bool hasTriedAll() const;

private:
    struct peer_record {
        core::endpoint address;
        unsigned failures = 0;
        core::monotonic_time usableAt;
        std::optional<core::monotonic_time> sentAt;
        // The first heartbeat since the last answer.
        std::optional<core::monotonic_time> waitingSince;
        std::optional<core::monotonic_time> answeredAt;
    };

    peer_record *find(const core::endpoint &peer);
    void backOff(peer_record &failedPeer, core::monotonic_time now, core::random_engine &engine);

    std::vector<peer_record> m_peers;
    std::size_t m_wanted;
};

} // namespace jackdawweir::distribution
