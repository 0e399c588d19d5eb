// Messages of membership, sent on wire::channel::Membership.
//
// A node states all backend servers of its host at once under a sequence number, so a lost,
// repeated or reordered message does no harm: the greatest (node incarnation, sequence) is the
// state. Relays hand out views: the backend servers of a data centre under a view version of that
// relay.

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

// A start of a backend server that withdrew; it and older starts never come back.
struct departed_server {
    core::endpoint address;
    std::uint64_t incarnation = 0;

    friend bool operator==(const departed_server &, const departed_server &) = default;

    MSGPACK_DEFINE_ARRAY(address, incarnation)
};

// Node to each relay of its data centre, on each change and until acknowledged.
struct node_update {
    core::host_name host;
    std::uint64_t nodeIncarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<backend_server> servers;
    std::vector<departed_server> departed;
    // The services of the node's active configuration, sorted; changes of others are not sent to
    // it.
    std::vector<core::service_name> services;

    MSGPACK_DEFINE_ARRAY(host, nodeIncarnation, sequence, servers, departed, services)
};

// Node to each relay, every 500 ms. It renews the node's lease.
struct node_heartbeat {
    core::host_name host;
    std::uint64_t nodeIncarnation = 0;
    // The sequence of the last update, which a relay that lacks it asks for by its acknowledgement.
    std::uint64_t sequence = 0;
    // Counts heartbeats, so that a repeated one renews nothing.
    std::uint64_t beat = 0;
    // True when the node leaves: its lease ends now.
    bool isLeaving = false;

    MSGPACK_DEFINE_ARRAY(host, nodeIncarnation, sequence, beat, isLeaving)
};

// Relay to node: the state that the relay holds of the node.
struct node_acknowledgement {
    std::uint64_t nodeIncarnation = 0;
    std::uint64_t sequence = 0;

    MSGPACK_DEFINE_ARRAY(nodeIncarnation, sequence)
};

// Asks a relay for the digests of its views and subscribes to changes, every 500 ms. A node names
// its host and gets the services it stated; a relay of another data centre leaves the host empty
// and gets the relay's own data centre whole.
struct view_poll {
    core::host_name host;
    std::uint64_t session = 0;

    MSGPACK_DEFINE_ARRAY(host, session)
};

// One data centre in a relay's view, as far as the follower depends on it.
struct view_digest {
    core::data_centre_name dataCentre;
    core::digest digest;
    // How old the statement is: the time since the heartbeat of the node heard least recently, but
    // for suspects.
    std::chrono::milliseconds age{0};
    // The nodes that missed a heartbeat, with the time since their last one. They are listed apart
    // so that one silent host does not exclude its whole data centre.
    std::map<core::host_name, std::chrono::milliseconds> suspects;

    MSGPACK_DEFINE_ARRAY(dataCentre, digest, age, suspects)
};

// Digests of the state at `viewVersion`.
struct view_summary {
    std::uint64_t session = 0;
    std::uint64_t relayIncarnation = 0;
    std::uint64_t viewVersion = 0;
    std::vector<view_digest> dataCentres;

    MSGPACK_DEFINE_ARRAY(session, relayIncarnation, viewVersion, dataCentres)
};

// Asks for the whole of one data centre after a digest differed.
struct view_request {
    core::host_name host;
    std::uint64_t session = 0;
    core::data_centre_name dataCentre;

    MSGPACK_DEFINE_ARRAY(host, session, dataCentre)
};

struct view_snapshot {
    std::uint64_t session = 0;
    std::uint64_t relayIncarnation = 0;
    std::uint64_t viewVersion = 0;
    core::data_centre_name dataCentre;
    std::vector<backend_server> servers;
    std::vector<departed_server> departed;

    MSGPACK_DEFINE_ARRAY(session, relayIncarnation, viewVersion, dataCentre, servers, departed)
};

// Changes since the last ones; each entry that is absent from `servers` and listed in `removed` is
// gone.
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
