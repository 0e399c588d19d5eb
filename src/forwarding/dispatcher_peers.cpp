// The part of a dispatcher that deals with other nodes: whether they answer, and what becomes of
// the requests at a node that does not.

#include <utility>

#include "forwarding/dispatcher_state.h"
#include "jackdawweir/http/status.h"

namespace jackdawweir::forwarding {

// Takes the answer of a node that was silent while another one is asked.
void dispatcher::takeSilent(const open_pointer &open,
                            forward_answer answer,
                            core::monotonic_time now)
{
    const chosen_server server = open->silent->server;
    m_attempts.erase(open->silent->number);
    open->silent.reset();
    if (answer.outcome == forward_outcome::NotRun) {
        --open->attempts;
        return;
    }
    const bool isFailure = http::status::isServerError(answer.status);
    if (answer.outcome == forward_outcome::Unknown || isFailure) {
        return;
    }
    abandonAttempt(*open);
    open->server = server;
    takeAnswered(open, std::move(answer), now);
}

bool dispatcher::resumeSilent(open_request &open, core::monotonic_time now)
{
    if (!open.silent || now >= open.deadline) {
        return false;
    }
    open.attemptNumber = open.silent->number;
    open.server = open.silent->server;
    open.sentAt = open.silent->sentAt;
    open.silent.reset();
    return true;
}

void dispatcher::dropSilent(open_request &open)
{
    m_choice.lost(open.silent->server.instance);
    m_attempts.erase(open.silent->number);
    open.silent.reset();
}

void dispatcher::abandonSilent(open_request &open)
{
    if (open.silent) {
        m_hooks.send(open.silent->server.peer, forward_cancel{open.silent->number});
        dropSilent(open);
    }
}

void dispatcher::noteReceived(const core::endpoint &peer, core::monotonic_time now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return;
    }
    peer_state &state = found->second;
    state.heardAt = now;
    state.askedFirst.reset();
    if (std::exchange(state.isUnreachable, false)) {
        m_choice.setReachable(peer, true);
        m_hooks.reachabilityChanged(peer, true);
    }
}

std::vector<dispatcher::open_pointer> dispatcher::openAt(const core::endpoint &peer) const
{
    std::vector<open_pointer> found;
    for (const auto &[number, open] : m_attempts) {
        if (number == open->attemptNumber && open->server.peer == peer) {
            found.push_back(open);
        }
    }
    return found;
}

std::vector<dispatcher::open_pointer> dispatcher::silentAt(const core::endpoint &peer) const
{
    std::vector<open_pointer> found;
    for (const auto &[number, open] : m_attempts) {
        if (open->isSilent(number) && open->silent->server.peer == peer) {
            found.push_back(open);
        }
    }
    return found;
}

void dispatcher::linkLost(const core::endpoint &peer, bool wasConnected, core::monotonic_time now)
{
    const auto state = m_peers.find(peer);
    if (state == m_peers.end()) {
        return;
    }
    if (!wasConnected && !std::exchange(state->second.isUnreachable, true)) {
        m_choice.setReachable(peer, false);
        m_hooks.reachabilityChanged(peer, false);
    }
    for (const open_pointer &open : silentAt(peer)) {
        dropSilent(*open);
    }
    for (const open_pointer &open : openAt(peer)) {
        m_choice.lost(open->server.instance);
        endAttempt(*open);
        if (wasConnected) {
            takeUnknown(open, forward_reason::LinkLost, now);
            continue;
        }
        // Nothing of a link that never connected has arrived.
        --open->attempts;
        ++open->goneServers;
        attempt(open, now);
    }
}

// Returns the nodes with requests under way, and whether one of them takes longer than expected.
std::map<core::endpoint, bool> dispatcher::peersWithRequests(core::monotonic_time now) const
{
    std::map<core::endpoint, bool> busy;
    for (const auto &[number, open] : m_attempts) {
        const chosen_server &server = open->serverOf(number);
        const core::monotonic_time expected
            = open->sentAtOf(number) + m_choice.paceOf(server.instance) + m_settings.probeAfter;
        bool &isOverdue = busy[server.peer];
        isOverdue = isOverdue || now >= expected;
    }
    return busy;
}

void dispatcher::watchPeers(core::monotonic_time now)
{
    const std::map<core::endpoint, bool> busy = peersWithRequests(now);
    const std::set<core::endpoint> listed = m_choice.peers();
    for (auto each = m_peers.begin(); each != m_peers.end();) {
        const core::endpoint peer = each->first;
        peer_state &state = each->second;
        ++each;
        if (!busy.contains(peer) && !state.isUnreachable) {
            state.heardAt = now;
            state.askedFirst.reset();
            continue;
        }
        if (!busy.contains(peer) && !listed.contains(peer)) {
            m_choice.setReachable(peer, true);
            m_peers.erase(peer);
            continue;
        }
        const auto overdue = busy.find(peer);
        const bool isOverdue = overdue != busy.end() && overdue->second;
        const bool isDue = state.askedFirst
            ? now >= state.askedLast + m_settings.probeInterval
            : isOverdue && now >= state.heardAt + m_settings.probeAfter;
        if (isDue) {
            state.askedLast = now;
            if (!state.askedFirst) {
                state.askedFirst = now;
            }
            m_hooks.send(peer, liveness_probe{0});
        }
        const bool isSilent = state.askedFirst && now >= *state.askedFirst + m_settings.silentAfter;
        if (isSilent && !std::exchange(state.isUnreachable, true)) {
            m_choice.setReachable(peer, false);
            m_hooks.reachabilityChanged(peer, false);
            moveElsewhere(peer, now);
        }
        if (state.askedFirst && now >= *state.askedFirst + m_settings.closeLinkAfter) {
            state.askedFirst = now;
            m_hooks.closeLink(peer);
        }
    }
}

// Idempotent requests are sent once more elsewhere while a node does not answer; its answer still
// counts. The others wait for it.
void dispatcher::moveElsewhere(const core::endpoint &peer, core::monotonic_time now)
{
    for (const open_pointer &open : openAt(peer)) {
        if (!open->isIdempotent() || open->silent || !mayRepeat(*open, now)) {
            continue;
        }
        countVersion(*open, true, now);
        open->silent
            = open_request::silent_attempt{open->attemptNumber, open->server, open->sentAt};
        open->attemptNumber = 0;
        open->mayHaveRun = true;
        open->unknownReason = forward_reason::Silent;
        attempt(open, now);
    }
}

} // namespace jackdawweir::forwarding
