// Messages of configuration distribution, sent on wire::channel::Distribution.
//
// A requester puts its session, the incarnation of its start, into every request, and every reply
// echoes it. A reply to an earlier start of the same process is thereby recognised and ignored.

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

// What a subscriber asks of a peer besides the newest version.
enum class subscription : std::uint8_t {
    Push, // Wants each new version pushed.
    Poll, // Only compares versions, as a second source of truth beside the pushing peer.
};

enum class busy_reason : std::uint8_t {
    FanOut, // The relay has as many subscribers as it serves.
    Admission, // The admission limit is reached.
};

} // namespace jackdawweir::distribution

MSGPACK_ADD_ENUM(jackdawweir::distribution::subscription)
MSGPACK_ADD_ENUM(jackdawweir::distribution::busy_reason)

namespace jackdawweir::distribution {

// The latest incarnation of each witness that a process knows of.
using incarnation_map = std::map<core::endpoint, std::uint64_t>;

// What a witness states of itself. A state without memory counts for nothing but its incarnations.
struct witness_state {
    bool hasMemory = false;
    std::uint64_t incarnation = 0;
    // The greatest version it held or recovered.
    core::config_version held;
    // A statement of an earlier incarnation than one named here was made before a loss of memory.
    incarnation_map known;

    MSGPACK_DEFINE_ARRAY(hasMemory, incarnation, held, known)
};

// Subscriber to relay or source, every 500 ms.
struct heartbeat {
    std::uint64_t session = 0;
    core::config_version held;
    subscription wanted = subscription::Push;

    MSGPACK_DEFINE_ARRAY(session, held, wanted)
};

struct heartbeat_reply {
    std::uint64_t session = 0;
    core::config_version newest;
    // False for a source; `witness` is then without meaning.
    bool isWitness = false;
    witness_state witness;

    MSGPACK_DEFINE_ARRAY(session, newest, isWitness, witness)
};

// Asks for the way from `base` to the newest version; a base of none asks for a snapshot.
struct fetch_request {
    std::uint64_t session = 0;
    core::config_version base;

    MSGPACK_DEFINE_ARRAY(session, base)
};

// The difference of two versions. A push carries the session of the receiver's last heartbeat.
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

// Refuses a request; the requester backs off and tries another peer.
struct busy_reply {
    std::uint64_t session = 0;
    busy_reason reason = busy_reason::Admission;

    MSGPACK_DEFINE_ARRAY(session, reason)
};

// Asks a source for a confirmed read.
struct floor_request {
    std::uint64_t session = 0;

    MSGPACK_DEFINE_ARRAY(session)
};

// The result of a confirmed read that began after the request arrived. `confirmed` is false where
// this source holds no leader lease.
struct floor_reply {
    std::uint64_t session = 0;
    bool confirmed = false;
    core::config_version floor;
    std::string reason;

    MSGPACK_DEFINE_ARRAY(session, confirmed, floor, reason)
};

// Asks a witness for its state.
struct witness_request {
    std::uint64_t session = 0;

    MSGPACK_DEFINE_ARRAY(session)
};

struct witness_reply {
    std::uint64_t session = 0;
    witness_state state;

    MSGPACK_DEFINE_ARRAY(session, state)
};

// A restarted witness asks another for its state; the session is its new incarnation, which the
// other remembers before it answers.
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
