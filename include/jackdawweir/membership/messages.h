// Membership messages, sent on wire::channel::Membership.
//
// A node update carries all backend servers of the node's host and a sequence number. A relay keeps
// the update with the greatest (node incarnation, sequence), so lost, repeated or reordered
// messages do no harm. Relays send views to their followers: a view is the set of backend servers
// of one data centre, numbered by a view version of that relay.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/digest.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/membership/backend_server.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::membership {

// An incarnation of a backend server that left. Announcements and updates of this and older
// incarnations are rejected.
struct departed_server {
    core::endpoint address;
    std::uint64_t incarnation = 0;

    friend bool operator==(const departed_server &, const departed_server &) = default;

    MSGPACK_DEFINE_ARRAY(address, incarnation)
};

// Sent by a node to each relay of its data centre on each change, and repeated until acknowledged.
struct node_update {
    core::host_name host;
    std::uint64_t nodeIncarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<backend_server> servers;
    std::vector<departed_server> departed;
    // The services of the node's active configuration, sorted. The relay sends the node no changes
    // of other services.
    std::vector<core::service_name> services;

    MSGPACK_DEFINE_ARRAY(host, nodeIncarnation, sequence, servers, departed, services)
};

// Sent by a node to each relay every 500 ms. It renews the node's lease.
struct node_heartbeat {
    core::host_name host;
    std::uint64_t nodeIncarnation = 0;
    // The sequence of the node's last update. A relay without that update acknowledges an older
    // sequence, which makes the node send it again.
    std::uint64_t sequence = 0;
    // Increases with each heartbeat, so that a duplicate does not renew the lease.
    std::uint64_t heartbeatNumber = 0;
    // True when the node shuts down: its lease ends now.
    bool isLeaving = false;

    MSGPACK_DEFINE_ARRAY(host, nodeIncarnation, sequence, heartbeatNumber, isLeaving)
};

// Sent by a relay to a node: the last update of the node that the relay has applied.
struct node_acknowledgement {
    std::uint64_t nodeIncarnation = 0;
    std::uint64_t sequence = 0;

    MSGPACK_DEFINE_ARRAY(nodeIncarnation, sequence)
};

// Requests the digests of a relay's views and subscribes to changes; sent every 500 ms. A node sets
// its host and receives the services listed in its node_update. A relay of another data centre
// leaves the host empty and receives all services of the relay's own data centre.
struct view_poll {
    core::host_name host;
    std::uint64_t session = 0;

    MSGPACK_DEFINE_ARRAY(host, session)
};

// The digest of one data centre in a relay's view, limited to the services of the follower.
struct view_digest {
    core::data_centre_name dataCentre;
    core::digest digest;
    // The age of the data: the time since the least recent heartbeat among the nodes that are not
    // suspects.
    std::chrono::milliseconds age{0};
    // The nodes that missed a heartbeat, with the time since their last one. They do not count
    // towards `age`, so that one unreachable host does not exclude its whole data centre.
    std::map<core::host_name, std::chrono::milliseconds> suspects;

    MSGPACK_DEFINE_ARRAY(dataCentre, digest, age, suspects)
};

// The digests of a relay's views at `viewVersion`.
struct view_summary {
    std::uint64_t session = 0;
    std::uint64_t relayIncarnation = 0;
    std::uint64_t viewVersion = 0;
    std::vector<view_digest> dataCentres;

    MSGPACK_DEFINE_ARRAY(session, relayIncarnation, viewVersion, dataCentres)
};

// Requests a snapshot of one data centre after a digest mismatch.
struct view_request {
    core::host_name host;
    std::uint64_t session = 0;
    core::data_centre_name dataCentre;

    MSGPACK_DEFINE_ARRAY(host, session, dataCentre)
};

// All backend servers of one data centre at `viewVersion`, limited to the services of the follower.
struct view_snapshot {
    std::uint64_t session = 0;
    std::uint64_t relayIncarnation = 0;
    std::uint64_t viewVersion = 0;
    core::data_centre_name dataCentre;
    std::vector<backend_server> servers;
    std::vector<departed_server> departed;

    MSGPACK_DEFINE_ARRAY(session, relayIncarnation, viewVersion, dataCentre, servers, departed)
};

// Incremental changes of one data centre: `servers` were added or changed, `removed` were removed.
struct view_changes {
    std::uint64_t session = 0;
    std::uint64_t relayIncarnation = 0;
    std::uint64_t viewVersion = 0;
    core::data_centre_name dataCentre;
    std::vector<backend_server> servers;
    std::vector<core::endpoint> removed;
    std::vector<departed_server> departed;

    MSGPACK_DEFINE_ARRAY(session,
                         relayIncarnation,
                         viewVersion,
                         dataCentre,
                         servers,
                         removed,
                         departed)
};

using message = std::variant<node_update,
                             node_heartbeat,
                             node_acknowledgement,
                             view_poll,
                             view_summary,
                             view_request,
                             view_snapshot,
                             view_changes>;

} // namespace jackdawweir::membership
