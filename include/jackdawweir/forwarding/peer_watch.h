// Decides which nodes get requests, from the connection attempts and the messages of each. A node
// is unreachable once a connection attempt to it fails, or once it answers neither a request nor
// the probes that follow. Any message of it makes it reachable again.
//
// No requests are sent to an unreachable node, and it may regard this node as unreachable too, so
// it is probed until it replies or is no longer listed. A single event may cut a node off from all
// others; the probes are therefore spread by a backoff with jitter and limited in number.
//
//     peer_watch watch(settings, engine);
//     watch.sent(peer, now);
//     if (watch.received(peer, now)) { /* the peer is reachable again */ }
//     if (watch.connectFailed(peer, now)) { /* the peer is unreachable */ }
//     const peer_actions due = watch.check(busyPeers, isListed, now);

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"

namespace jackdawweir::forwarding {

struct peer_watch_settings {
    // A node is probed once a request there has taken this much longer than the server's mean run
    // time and nothing was received from the node for this long.
    std::chrono::milliseconds probeAfter{100};
    // The interval between probes of a reachable node that does not respond.
    std::chrono::milliseconds probeInterval{300};
    // A node that sends nothing for this long after the first probe is unreachable. The limit
    // leaves room for CPU throttling: a node that has used up its share of a core may pause for a
    // tenth of a second.
    std::chrono::milliseconds silentAfter{300};
    // A link on which nothing is received for this long after the first probe is closed, so that a
    // new one can be opened.
    std::chrono::milliseconds closeLinkAfter{1'500};
    // The limits of the delays between probes of an unreachable node. The delay is drawn between
    // zero and a limit that doubles with each probe. A node that no longer reports leaves the
    // directory a few seconds later and is then not probed any more.
    std::chrono::milliseconds initialProbeDelay{600};
    std::chrono::milliseconds maxProbeDelay{2'400};
    // How many unreachable nodes are probed in one check; each probe may open a connection.
    std::size_t maxProbesPerCheck = 4;
};

enum class reachability_change : std::uint8_t {
    ConnectFailed, // A connection attempt failed.
    Silent, // Neither a request nor a probe was answered.
    Regained, // A message arrived.
};

const char *toString(reachability_change change);

// What to do after a check.
struct peer_actions {
    std::vector<core::endpoint> probed;
    // Nodes that have become unreachable because they do not respond.
    std::vector<core::endpoint> silent;
    std::vector<core::endpoint> closedLinks;
    // Unreachable nodes that are no longer listed; they are not watched any more.
    std::vector<core::endpoint> forgotten;
};

class peer_watch
{
public:
    // The nodes with requests in flight, and whether one of these takes longer than expected.
    using busy_peers = std::map<core::endpoint, bool>;
    using listed_predicate = std::function<bool(const core::endpoint &)>;

    peer_watch(const peer_watch_settings &settings, const core::random_engine &engine);

    // Records that a request was passed to the link to the node.
    void sent(const core::endpoint &peer, core::monotonic_time now);
    // Records a message of the node. Returns true if the node was unreachable.
    bool received(const core::endpoint &peer, core::monotonic_time now);
    // Records a failed connection attempt. Returns true if the node was reachable. A node to which
    // no request was sent is not watched.
    bool connectFailed(const core::endpoint &peer, core::monotonic_time now);

    // Returns what is due; the probes count as sent. Called several times a second.
    peer_actions
    check(const busy_peers &busy, const listed_predicate &isListed, core::monotonic_time now);

    bool isWatched(const core::endpoint &peer) const;
    std::size_t unreachableCount() const;

private:
    struct peer_state {
        core::monotonic_time lastReceivedAt;
        // The times of the first and the latest probe since a message was last received.
        std::optional<core::monotonic_time> firstProbeAt;
        core::monotonic_time lastProbeAt;
        bool isUnreachable = false;
        // For an unreachable node: when the next probe is due, and how many were sent.
        core::monotonic_time nextProbeAt;
        unsigned probes = 0;
    };

    using peer_map = std::map<core::endpoint, peer_state>;

    void markUnreachable(peer_state &state, core::monotonic_time now);
    void scheduleProbe(peer_state &state, core::monotonic_time now);
    static void recordProbe(peer_state &state, core::monotonic_time now);
    void checkReachable(peer_map::value_type &peer,
                        bool isOverdue,
                        core::monotonic_time now,
                        peer_actions &due);
    void probeUnreachable(std::vector<peer_map::value_type *> waiting,
                          core::monotonic_time now,
                          peer_actions &due);

    peer_watch_settings m_settings;
    core::random_engine m_engine;
    peer_map m_peers;
};

} // namespace jackdawweir::forwarding
