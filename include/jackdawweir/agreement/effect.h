// The effects that a replica returns for its driver to carry out, in order.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jackdawweir/agreement/entry.h"
#include "jackdawweir/agreement/message.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"

namespace jackdawweir::agreement {

struct send_message {
    core::endpoint to;
    message body;
};

// Writes state to the disk. After the sync the driver passes the sequence number to
// replica::persisted, or to replica::persistFailed if the write or the sync failed. Several effects
// may share one sync; they complete in order.
struct persist {
    std::uint64_t sequence = 0;
    std::optional<hard_state> hard;
    // The first entry replaces everything stored from its index on.
    std::vector<entry> entries;
    // If set, the snapshot, `hard` and `entries` replace everything stored before.
    std::optional<snapshot> latestSnapshot;
};

// Committed entries, which follow the ones of the previous effect. The driver applies those of kind
// Command to the state machine.
struct committed_entries {
    std::vector<entry> entries;
};

// Replaces the state of the state machine with that of a snapshot, which the leader sent or which
// was read from the data folder at the start.
struct restore_snapshot {
    snapshot restored;
};

// The proposal was appended to the leader's log. Its outcome is known once an entry at this index
// is committed: the proposal succeeded if that entry has this term, and was overwritten otherwise.
struct proposal_appended {
    std::uint64_t proposal = 0;
    log_position position;
};

// The proposal was not appended and will never be committed.
struct proposal_refused {
    std::uint64_t proposal = 0;
    core::error reason;
};

// A state machine that has applied all entries up to `index` held the newest state when the read
// was requested.
struct read_confirmed {
    std::uint64_t read = 0;
    std::uint64_t index = 0;
};

struct read_refused {
    std::uint64_t read = 0;
    core::error reason;
};

enum class replica_role : std::uint8_t {
    Starting, // Waits for its peers to confirm that its disk was not rolled back.
    Learner, // Not a voter; also a new identity that is not yet a member.
    Follower,
    Candidate,
    Leader,
    Stopped, // Its storage failed, or a peer rejected its identity.
};

const char *toString(replica_role role);

struct role_changed {
    replica_role role = replica_role::Starting;
    std::uint64_t term = 0;
    // The address of the leader; empty if it is unknown.
    core::endpoint leader;
};

// The log has grown past the limit. The driver calls replica::compact with the state of the state
// machine after the entry at `index`, which is the last one committed.
struct snapshot_wanted {
    std::uint64_t index = 0;
};

// A peer detected that this replica's disk was rolled back, or that its identity was removed from
// the members. The replica has stopped; the driver discards the data folder and starts a replica
// with a new identity.
struct identity_rejected {
    core::error reason;
};

// The replica takes part, relying on its disk, although too few peers have confirmed its start: the
// others did not answer in time.
struct start_unconfirmed {
    std::size_t answers = 0;
    std::size_t voters = 0;
};

using effect = std::variant<send_message,
                            persist,
                            committed_entries,
                            restore_snapshot,
                            proposal_appended,
                            proposal_refused,
                            read_confirmed,
                            read_refused,
                            role_changed,
                            snapshot_wanted,
                            identity_rejected,
                            start_unconfirmed>;

using effects = std::vector<effect>;

} // namespace jackdawweir::agreement
