// Messages of configuration distribution, sent on wire::channel::Distribution.
//
// Every request carries the requester's session, which is its incarnation, and every reply echoes
// it. A process thereby recognises and ignores replies to its earlier incarnations.
//
// The relays of a data centre are its witnesses: they record the newest version that they hold, so
// that a restarted node does not activate an older version than before.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/config_version.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/document/configuration.h"

namespace jackdawweir::distribution {

// Whether a peer pushes new versions to a subscriber.
enum class subscription : std::uint8_t {
    Push, // The peer pushes each new version.
    Poll, // The peer only reports its newest version, as a check on the pushing peer.
};

enum class busy_reason : std::uint8_t {
    FanOut, // The relay has reached its subscriber limit, relayFanOut.
    Admission, // The admission limit rejected the request.
};

} // namespace jackdawweir::distribution

MSGPACK_ADD_ENUM(jackdawweir::distribution::subscription)
MSGPACK_ADD_ENUM(jackdawweir::distribution::busy_reason)

namespace jackdawweir::distribution {

// The greatest known incarnation of each witness.
using incarnation_map = std::map<core::endpoint, std::uint64_t>;

// The state that a witness reports. A witness has no memory from its start until its recovery; then
// only the incarnations in its state are used.
struct witness_state {
    bool hasMemory = false;
    std::uint64_t incarnation = 0;
    // The greatest version that it held or recovered.
    core::config_version held;
    // The incarnations of witnesses that it knows. A state of an earlier incarnation than the one
    // listed here dates from before that witness lost its memory.
    incarnation_map known;

    MSGPACK_DEFINE_ARRAY(hasMemory, incarnation, held, known)
};

// Sent by a subscriber to a relay or source every 500 ms.
struct heartbeat {
    std::uint64_t session = 0;
    core::config_version held;
    subscription mode = subscription::Push;

    MSGPACK_DEFINE_ARRAY(session, held, mode)
};

struct heartbeat_reply {
    std::uint64_t session = 0;
    core::config_version newest;
    // False for a source; `witness` is then ignored.
    bool isWitness = false;
    witness_state witness;

    MSGPACK_DEFINE_ARRAY(session, newest, isWitness, witness)
};

// Requests the delta from `base` to the newest version, or a snapshot if `base` is none.
struct fetch_request {
    std::uint64_t session = 0;
    core::config_version base;

    MSGPACK_DEFINE_ARRAY(session, base)
};

// The difference between two versions. A pushed delta carries the session of the receiver's last
// heartbeat.
struct delta {
    std::uint64_t session = 0;
    core::config_version base;
    core::config_version result;
    document::resource_map changed;
    std::vector<std::string> removed;

    MSGPACK_DEFINE_ARRAY(session, base, result, changed, removed)
};

struct snapshot {
    std::uint64_t session = 0;
    core::config_version version;
    document::resource_map resources;

    MSGPACK_DEFINE_ARRAY(session, version, resources)
};

// Rejects a request; the requester backs off and tries another peer.
struct busy_reply {
    std::uint64_t session = 0;
    busy_reason reason = busy_reason::Admission;

    MSGPACK_DEFINE_ARRAY(session, reason)
};

// Requests a confirmed read from a source.
struct floor_request {
    std::uint64_t session = 0;

    MSGPACK_DEFINE_ARRAY(session)
};

// The result of a confirmed read that began after the request arrived. `confirmed` is false if the
// read failed, for example because this source holds no leader lease; `reason` then contains the
// error.
struct floor_reply {
    std::uint64_t session = 0;
    bool confirmed = false;
    core::config_version floor;
    std::string reason;

    MSGPACK_DEFINE_ARRAY(session, confirmed, floor, reason)
};

// Requests the state of a witness.
struct witness_request {
    std::uint64_t session = 0;

    MSGPACK_DEFINE_ARRAY(session)
};

struct witness_reply {
    std::uint64_t session = 0;
    witness_state state;

    MSGPACK_DEFINE_ARRAY(session, state)
};

// Sent by a restarted witness to request the state of another one. The session is the sender's new
// incarnation, which the receiver records before it replies.
struct recovery_request {
    std::uint64_t session = 0;

    MSGPACK_DEFINE_ARRAY(session)
};

struct recovery_reply {
    std::uint64_t session = 0;
    witness_state state;

    MSGPACK_DEFINE_ARRAY(session, state)
};

using message = std::variant<heartbeat,
                             heartbeat_reply,
                             fetch_request,
                             delta,
                             snapshot,
                             busy_reply,
                             floor_request,
                             floor_reply,
                             witness_request,
                             witness_reply,
                             recovery_request,
                             recovery_reply>;

} // namespace jackdawweir::distribution
