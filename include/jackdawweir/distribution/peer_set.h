// The ranked peers that a subscriber may use, with backoff for those that failed.

#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/distribution/settings.h"

namespace jackdawweir::distribution {

// A peer that is due for a heartbeat.
struct due_peer {
    core::endpoint address;
    // True for the highest-ranked peer in use, which pushes new versions.
    bool isPrimary = false;
};

class peer_set
{
public:
    // Uses the `maxInUse` highest-ranked peers that have not failed. A failed peer is probed after
    // its backoff in addition to those in use, so that it does not displace a working one.
    peer_set(std::vector<core::endpoint> ranked, std::size_t maxInUse);

    // Returns the peers to send a heartbeat to now. Peers without a reply for peerTimeout are
    // treated as failed.
    std::vector<due_peer> takeDuePeers(core::monotonic_time now, core::random_engine &engine);

    // Records a reply of any kind, which ends the backoff of the peer.
    void recordReply(const core::endpoint &peer, core::monotonic_time now);

    // Records a failure; the peer is not used until its backoff ends. Unknown peers are ignored.
    void recordFailure(const core::endpoint &peer,
                       core::monotonic_time now,
                       core::random_engine &engine);

    // Returns true if any peer replied within peerTimeout.
    bool hasRecentReply(core::monotonic_time now) const;

    // Returns true if each peer failed at least once since its last reply.
    bool haveAllFailed() const;

private:
    struct peer_record {
        core::endpoint address;
        unsigned failures = 0;
        core::monotonic_time retryAt;
        std::optional<core::monotonic_time> sentAt;
        // When the first heartbeat since the last reply was sent.
        std::optional<core::monotonic_time> waitingSince;
        std::optional<core::monotonic_time> answeredAt;
    };

    peer_record *find(const core::endpoint &peer);
    void backOff(peer_record &failedPeer, core::monotonic_time now, core::random_engine &engine);

    std::vector<peer_record> m_peers;
    std::size_t m_maxInUse;
};

} // namespace jackdawweir::distribution
