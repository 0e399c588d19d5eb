// The part of dispatcher that checks whether other nodes respond, and handles the requests at a
// node that does not.

#include <utility>

#include "forwarding/dispatcher_state.h"
#include "jackdawweir/http/status.h"

namespace jackdawweir::forwarding {

// Handles the answer of a node that did not respond, after the request was sent to another one.
void dispatcher::handleSilentAnswer(const open_pointer &open,
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
    handleAnswered(open, std::move(answer), now);
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
    m_loadBalancer.lost(open.silent->server.instance);
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
    if (m_peers.received(peer, now)) {
        m_loadBalancer.setReachable(peer, true);
        m_hooks.reachabilityChanged(peer, reachability_change::Regained);
    }
}

void dispatcher::markUnreachable(const core::endpoint &peer, reachability_change change)
{
    m_loadBalancer.setReachable(peer, false);
    m_hooks.reachabilityChanged(peer, change);
}

std::vector<dispatcher::open_pointer> dispatcher::requestsAt(const core::endpoint &peer) const
{
    std::vector<open_pointer> found;
    for (const auto &[number, open] : m_attempts) {
        if (number == open->attemptNumber && open->server.peer == peer) {
            found.push_back(open);
        }
    }
    return found;
}

std::vector<dispatcher::open_pointer> dispatcher::silentRequestsAt(const core::endpoint &peer) const
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
    if (!m_peers.isWatched(peer)) {
        return;
    }
    if (!wasConnected && m_peers.connectFailed(peer, now)) {
        markUnreachable(peer, reachability_change::ConnectFailed);
    }
    for (const open_pointer &open : silentRequestsAt(peer)) {
        dropSilent(*open);
    }
    for (const open_pointer &open : requestsAt(peer)) {
        m_loadBalancer.lost(open->server.instance);
        endAttempt(*open);
        if (wasConnected) {
            handleUnknown(open, forward_reason::LinkLost, now);
            continue;
        }
        // The link never connected, so the request has not arrived.
        --open->attempts;
        ++open->unavailableServers;
        attempt(open, now);
    }
}

// Returns the nodes with requests in flight, and whether one of these takes longer than expected.
peer_watch::busy_peers dispatcher::peersWithRequests(core::monotonic_time now) const
{
    peer_watch::busy_peers busy;
    for (const auto &[number, open] : m_attempts) {
        const chosen_server &server = open->serverOf(number);
        const core::monotonic_time expected = open->sentAtOf(number)
            + m_loadBalancer.meanRunTimeOf(server.instance) + m_settings.peers.probeAfter;
        bool &isOverdue = busy[server.peer];
        isOverdue = isOverdue || now >= expected;
    }
    return busy;
}

void dispatcher::watchPeers(core::monotonic_time now)
{
    const auto isListed = [this](const core::endpoint &peer) {
        return m_loadBalancer.isListed(peer);
    };
    const peer_actions due = m_peers.check(peersWithRequests(now), isListed, now);
    for (const core::endpoint &peer : due.forgotten) {
        m_loadBalancer.setReachable(peer, true);
    }
    for (const core::endpoint &peer : due.probed) {
        m_hooks.send(peer, liveness_probe{0});
    }
    for (const core::endpoint &peer : due.silent) {
        markUnreachable(peer, reachability_change::Silent);
        retryElsewhere(peer, now);
    }
    for (const core::endpoint &peer : due.closedLinks) {
        m_hooks.closeLink(peer);
    }
}

// Sends the idempotent requests of a node that does not respond to other nodes as well; an answer
// of the unresponsive node is still used. Non-idempotent requests wait for that node.
void dispatcher::retryElsewhere(const core::endpoint &peer, core::monotonic_time now)
{
    for (const open_pointer &open : requestsAt(peer)) {
        if (!open->isIdempotent() || open->silent || !mayRetry(*open, now)) {
            continue;
        }
        countVersion(*open, true, now);
        open->silent
            = open_request::silent_attempt{open->attemptNumber, open->server, open->sentAt};
        open->attemptNumber = 0;
        if (!std::exchange(open->mayHaveRun, true)) {
            chargeRepeat(*open, now);
        }
        open->unknownReason = forward_reason::Silent;
        attempt(open, now);
    }
}

} // namespace jackdawweir::forwarding
