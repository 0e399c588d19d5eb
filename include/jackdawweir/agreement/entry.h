// The data that a replica stores: log entries, its hard state and snapshots.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/agreement/membership.h"

namespace jackdawweir::agreement {

enum class entry_kind : std::uint8_t {
    Empty, // The first entry of a new leader's term.
    Command, // A command for the state machine.
    Membership, // An encoded membership.
};

} // namespace jackdawweir::agreement

MSGPACK_ADD_ENUM(jackdawweir::agreement::entry_kind)

namespace jackdawweir::agreement {

struct entry {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    entry_kind kind = entry_kind::Empty;
    std::string payload;

    friend bool operator==(const entry &, const entry &) = default;

    MSGPACK_DEFINE_ARRAY(term, index, kind, payload)
};

// The last entry of a log. A log is at least as up to date as another if its position is not less.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    friend auto operator<=>(const log_position &, const log_position &) = default;

    MSGPACK_DEFINE_ARRAY(term, index)
};

// Identifies one start of a replica. The nonce distinguishes a resent notice of the same start from
// another start with the same count, which occurs only if the disk was rolled back.
struct boot_record {
    replica_id id;
    std::uint64_t count = 0;
    std::uint64_t nonce = 0;

    friend bool operator==(const boot_record &, const boot_record &) = default;

    MSGPACK_DEFINE_ARRAY(id, count, nonce)
};

// The state besides the log that a replica must not lose in a restart (Raft's hard state).
struct hard_state {
    replica_id id;
    std::uint64_t bootCount = 0;
    std::uint64_t term = 0;
    // The candidate voted for in this term.
    replica_id vote;
    // The latest known start of each peer.
    std::vector<boot_record> peerBoots;
    // Entries up to this index are committed. It is written along with other changes, so it may lag
    // behind. After a restart these entries are applied before any peer has answered.
    std::uint64_t committed = 0;

    friend bool operator==(const hard_state &, const hard_state &) = default;

    MSGPACK_DEFINE_ARRAY(id, bootCount, term, vote, peerBoots, committed)
};

// The state of the state machine after all entries up to `last`, with the members at that point.
struct snapshot {
    log_position last;
    membership members;
    std::string state;

    friend bool operator==(const snapshot &, const snapshot &) = default;

    MSGPACK_DEFINE_ARRAY(last, members, state)
};

// The stored data that a replica starts from. It has no identity if the data folder is empty.
struct stored_state {
    hard_state hard;
    std::optional<snapshot> latestSnapshot;
    // The entries after the snapshot.
    std::vector<entry> entries;
};

} // namespace jackdawweir::agreement
