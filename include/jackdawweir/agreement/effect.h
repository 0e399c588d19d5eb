// What a replica asks its driver to do. Effects are carried out in order.

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

// Write this and sync, then report the sequence with replica::persisted or replica::persistFailed.
// Several may be written with one sync; they complete in order.
struct persist {
    std::uint64_t sequence = 0;
    std::optional<hard_state> hard;
    // The first entry replaces everything stored from its index on.
    std::vector<entry> entries;
    // With a snapshot, `hard` and `entries` are all that remains of the log.
    std::optional<snapshot> compacted;
};

// Apply these entries, which follow the ones applied before. Only those of kind Command concern the
// state machine.
struct committed_entries {
    std::vector<entry> entries;
};

// Replace the state machine's state by that of the snapshot, which a leader sent or the data folder
// held.
struct restore_snapshot {
    snapshot restored;
};

// The proposal is in the leader's log. It is decided once an entry at this index is committed: done
// where that entry has this term, lost otherwise.
struct proposal_appended {
    std::uint64_t proposal = 0;
    log_position position;
};

// The proposal was not taken and will never be committed.
struct proposal_refused {
    std::uint64_t proposal = 0;
    core::error reason;
};

// The state machine, with all entries up to `index` applied, was current when the read was asked
// for.
struct read_confirmed {
    std::uint64_t read = 0;
    std::uint64_t index = 0;
};

struct read_refused {
    std::uint64_t read = 0;
    core::error reason;
};

enum class replica_role : std::uint8_t {
    Starting, // Waits until its peers have confirmed that its disk was not rolled back.
    Learner, // Is no voter; also a new identity that is not admitted yet.
    Follower,
    Candidate,
    Leader,
    Stopped, // Its storage failed or its identity was rejected.
};

const char *toString(replica_role role);

struct role_changed {
    replica_role role = replica_role::Starting;
    std::uint64_t term = 0;
    // The address of the leader, where it is known.
    core::endpoint leader;
};

// The log has grown past the limit: call replica::compact with the state machine's state after the
// entry at `index`, which is the last one committed.
struct snapshot_wanted {
    std::uint64_t index = 0;
};

// A peer found that this replica's disk was rolled back, or the identity was removed. The replica
// has stopped: discard the data folder and start a replica with a new identity.
struct identity_rejected {
    core::error reason;
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
                            identity_rejected>;

using effects = std::vector<effect>;

} // namespace jackdawweir::agreement
