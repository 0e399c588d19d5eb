// Messages between replicas. They travel as the `message` variant on the Agreement channel.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/agreement/entry.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::agreement {

struct message_header {
    replica_id from;
    core::endpoint fromAddress;
    // None for a message to whatever replica is at the address.
    replica_id to;
    std::uint64_t bootCount = 0;
    std::uint64_t term = 0;

    MSGPACK_DEFINE_ARRAY(from, fromAddress, to, bootCount, term)
};

// Asks for a vote. A pre-vote asks whether a vote in `header.term` would be granted and changes
// nothing.
struct vote_request {
    message_header header;
    bool isPreVote = false;
    log_position last;

    MSGPACK_DEFINE_ARRAY(header, isPreVote, last)
};

struct vote_reply {
    message_header header;
    bool isPreVote = false;
    bool isGranted = false;
    // The term of the request.
    std::uint64_t requestTerm = 0;
    std::vector<boot_record> peerBoots;

    MSGPACK_DEFINE_ARRAY(header, isPreVote, isGranted, requestTerm, peerBoots)
};

// Sends entries after `previous`; without entries it is a heartbeat.
struct append_request {
    message_header header;
    log_position previous;
    std::vector<entry> entries;
    std::uint64_t commitIndex = 0;
    // The leader's clock when it sent this, which the reply repeats.
    std::chrono::nanoseconds sentAt{0};

    MSGPACK_DEFINE_ARRAY(header, previous, entries, commitIndex, sentAt)
};

struct append_reply {
    message_header header;
    bool isAccepted = false;
    // False while the replica waits for its peers to confirm that its disk was not rolled back; the
    // reply then counts neither for a commit nor for the lease.
    bool isCounted = false;
    // Accepted: entries up to here equal the leader's and are synced. Else: where to go on.
    std::uint64_t matchIndex = 0;
    std::chrono::nanoseconds sentAt{0};
    std::vector<boot_record> peerBoots;

    MSGPACK_DEFINE_ARRAY(header, isAccepted, isCounted, matchIndex, sentAt, peerBoots)
};

// Sends a snapshot in place of entries that the leader has compacted; answered by append_reply.
struct snapshot_request {
    message_header header;
    snapshot sent;
    std::chrono::nanoseconds sentAt{0};

    MSGPACK_DEFINE_ARRAY(header, sent, sentAt)
};

// Tells peers of a start; repeated until enough peers answered and a leader sends entries. From an
// identity that is no member it is a request to be admitted.
struct boot_notice {
    message_header header;
    std::uint64_t nonce = 0;
    log_position last;

    MSGPACK_DEFINE_ARRAY(header, nonce, last)
};

struct boot_reply {
    message_header header;
    // The nonce of the notice.
    std::uint64_t nonce = 0;
    // Why the sender of the notice must take a new identity; empty where it need not.
    std::string rejection;
    log_position last;
    std::uint64_t membershipIndex = 0;
    membership members;

    MSGPACK_DEFINE_ARRAY(header, nonce, rejection, last, membershipIndex, members)
};

using message = std::variant<vote_request,
                             vote_reply,
                             append_request,
                             append_reply,
                             snapshot_request,
                             boot_notice,
                             boot_reply>;

const message_header &headerOf(const message &sent);

} // namespace jackdawweir::agreement
