#include "jackdawweir/forwarding/peer_watch.h"

#include <algorithm>

namespace jackdawweir::forwarding {

const char *toString(reachability_change change)
{
    switch (change) {
    case reachability_change::ConnectFailed:
        return "connect-failed";
    case reachability_change::Silent:
        return "silent";
    case reachability_change::Regained:
        return "regained";
    }
    return "unknown";
}

peer_watch::peer_watch(const peer_watch_settings &settings, const core::random_engine &engine)
    : m_settings(settings)
    , m_engine(engine)
{
}

void peer_watch::sent(const core::endpoint &peer, core::monotonic_time now)
{
    const auto [found, isNew] = m_peers.try_emplace(peer);
    if (isNew) {
        found->second.lastReceivedAt = now;
    }
}

bool peer_watch::received(const core::endpoint &peer, core::monotonic_time now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return false;
    }
    const bool wasUnreachable = found->second.isUnreachable;
    found->second = peer_state{};
    found->second.lastReceivedAt = now;
    return wasUnreachable;
}

bool peer_watch::connectFailed(const core::endpoint &peer, core::monotonic_time now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || found->second.isUnreachable) {
        return false;
    }
    markUnreachable(found->second, now);
    return true;
}

void peer_watch::markUnreachable(peer_state &state, core::monotonic_time now)
{
    state.isUnreachable = true;
    state.probes = 0;
    scheduleProbe(state, now);
}

void peer_watch::scheduleProbe(peer_state &state, core::monotonic_time now)
{
    state.nextProbeAt
        = now
        + core::backoffWithFullJitter(
              m_engine, state.probes, m_settings.initialProbeDelay, m_settings.maxProbeDelay);
}

void peer_watch::recordProbe(peer_state &state, core::monotonic_time now)
{
    state.lastProbeAt = now;
    if (!state.firstProbeAt) {
        state.firstProbeAt = now;
    }
}

peer_actions peer_watch::check(const busy_peers &busy,
                               const listed_predicate &isListed,
                               core::monotonic_time now)
{
    peer_actions due;
    std::vector<peer_map::value_type *> waiting;
    for (auto each = m_peers.begin(); each != m_peers.end();) {
        peer_map::value_type &peer = *each;
        const auto found = busy.find(peer.first);
        const bool isBusy = found != busy.end();
        peer_state &state = peer.second;
        if (!isBusy && state.isUnreachable && !isListed(peer.first)) {
            due.forgotten.push_back(peer.first);
            each = m_peers.erase(each);
            continue;
        }
        ++each;
        if (!isBusy && !state.isUnreachable) {
            state.lastReceivedAt = now;
            state.firstProbeAt.reset();
            continue;
        }
        if (!state.isUnreachable) {
            checkReachable(peer, found->second, now, due);
        } else if (now >= state.nextProbeAt) {
            waiting.push_back(&peer);
        }
        if (state.firstProbeAt && now >= *state.firstProbeAt + m_settings.closeLinkAfter) {
            state.firstProbeAt = now;
            due.closedLinks.push_back(peer.first);
        }
    }
    probeUnreachable(std::move(waiting), now, due);
    return due;
}

// Probes a node with overdue requests, and finds it unreachable if it has not replied in time.
void peer_watch::checkReachable(peer_map::value_type &peer,
                                bool isOverdue,
                                core::monotonic_time now,
                                peer_actions &due)
{
    peer_state &state = peer.second;
    const bool isProbeDue = state.firstProbeAt
        ? now >= state.lastProbeAt + m_settings.probeInterval
        : isOverdue && now >= state.lastReceivedAt + m_settings.probeAfter;
    if (isProbeDue) {
        recordProbe(state, now);
        due.probed.push_back(peer.first);
    }
    if (state.firstProbeAt && now >= *state.firstProbeAt + m_settings.silentAfter) {
        markUnreachable(state, now);
        due.silent.push_back(peer.first);
    }
}

// Probes the nodes that have waited for longest. The others remain due at the next check.
void peer_watch::probeUnreachable(std::vector<peer_map::value_type *> waiting,
                                  core::monotonic_time now,
                                  peer_actions &due)
{
    const std::size_t count = std::min(waiting.size(), m_settings.maxProbesPerCheck);
    std::partial_sort(waiting.begin(),
                      waiting.begin() + static_cast<std::ptrdiff_t>(count),
                      waiting.end(),
                      [](const auto *first, const auto *second) {
                          return first->second.nextProbeAt < second->second.nextProbeAt;
                      });
    waiting.resize(count);
    for (peer_map::value_type *each : waiting) {
        peer_state &state = each->second;
        recordProbe(state, now);
        ++state.probes;
        scheduleProbe(state, now);
        due.probed.push_back(each->first);
    }
}

bool peer_watch::isWatched(const core::endpoint &peer) const
{
    return m_peers.contains(peer);
}

std::size_t peer_watch::unreachableCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [](const auto &each) {
            return each.second.isUnreachable;
        }));
}

} // namespace jackdawweir::forwarding
