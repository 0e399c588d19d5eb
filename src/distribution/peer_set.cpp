#include "jackdawweir/distribution/peer_set.h"

#include <algorithm>
#include <utility>

namespace jackdawweir::distribution {

peer_set::peer_set(std::vector<core::endpoint> ranked, std::size_t maxInUse)
    : m_maxInUse(maxInUse)
{
    for (core::endpoint &peer : ranked) {
        peer_record record;
        record.address = std::move(peer);
        m_peers.push_back(std::move(record));
    }
}

std::vector<due_peer> peer_set::takeDuePeers(core::monotonic_time now, core::random_engine &engine)
{
    for (peer_record &peer : m_peers) {
        if (peer.waitingSince.has_value() && now - *peer.waitingSince >= peerTimeout) {
            backOff(peer, now, engine);
        }
    }
    std::vector<due_peer> due;
    std::size_t inUse = 0;
    for (peer_record &peer : m_peers) {
        const bool isUsed = peer.failures == 0 && inUse < m_maxInUse;
        inUse += isUsed ? 1 : 0;
        const bool isProbed = peer.failures > 0 && now >= peer.retryAt;
        const bool isDue = !peer.sentAt.has_value() || now - *peer.sentAt >= heartbeatInterval;
        if ((isUsed || isProbed) && isDue) {
            peer.sentAt = now;
            peer.waitingSince = peer.waitingSince.value_or(now);
            due.push_back(due_peer{peer.address, isUsed && inUse == 1});
        } else if (!isUsed && !isProbed) {
            peer.waitingSince.reset();
        }
    }
    return due;
}

void peer_set::recordReply(const core::endpoint &peer, core::monotonic_time now)
{
    if (peer_record *record = find(peer)) {
        record->failures = 0;
        record->waitingSince.reset();
        record->answeredAt = now;
    }
}

void peer_set::recordFailure(const core::endpoint &peer,
                             core::monotonic_time now,
                             core::random_engine &engine)
{
    if (peer_record *record = find(peer)) {
        backOff(*record, now, engine);
    }
}

bool peer_set::hasRecentReply(core::monotonic_time now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [now](const peer_record &peer) {
        return peer.answeredAt.has_value() && now - *peer.answeredAt < peerTimeout;
    });
}

bool peer_set::haveAllFailed() const
{
    return std::all_of(
        m_peers.begin(), m_peers.end(), [](const peer_record &peer) { return peer.failures > 0; });
}

peer_set::peer_record *peer_set::find(const core::endpoint &peer)
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), [&](const peer_record &each) {
        return each.address == peer;
    });
    return found == m_peers.end() ? nullptr : &*found;
}

void peer_set::backOff(peer_record &failedPeer,
                       core::monotonic_time now,
                       core::random_engine &engine)
{
    failedPeer.retryAt = now
        + core::backoffWithFullJitter(engine, failedPeer.failures, initialBackoff, maxBackoff);
    ++failedPeer.failures;
    failedPeer.sentAt.reset();
    failedPeer.waitingSince.reset();
    failedPeer.answeredAt.reset();
}

} // namespace jackdawweir::distribution
