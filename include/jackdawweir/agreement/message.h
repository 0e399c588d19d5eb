// Messages between replicas, sent as the `message` variant on the Agreement channel.

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
    // None if the message is for any replica at the address.
    replica_id to;
    std::uint64_t bootCount = 0;
    std::uint64_t term = 0;

    MSGPACK_DEFINE_ARRAY(from, fromAddress, to, bootCount, term)
};

// Requests a vote. A pre-vote checks whether the receiver would grant a vote in the term after
// `header.term`, and changes no state.
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
    // The term that the vote was requested for.
    std::uint64_t requestTerm = 0;
    std::vector<boot_record> peerBoots;

    MSGPACK_DEFINE_ARRAY(header, isPreVote, isGranted, requestTerm, peerBoots)
};

// Sends the entries after `previous`. Without entries it is a heartbeat.
struct append_request {
    message_header header;
    log_position previous;
    std::vector<entry> entries;
    std::uint64_t commitIndex = 0;
    // The leader's clock at the time of sending; the reply repeats it.
    std::chrono::nanoseconds sentAt{0};

    MSGPACK_DEFINE_ARRAY(header, previous, entries, commitIndex, sentAt)
};

struct append_reply {
    message_header header;
    bool isAccepted = false;
    // False while the replica waits for its peers to confirm that its disk was not rolled back, or
    // if the request is of an earlier term. The reply then counts neither towards a commit nor
    // towards the leader's lease.
    bool isCounted = false;
    // If accepted, the entries up to this index equal the leader's and are synced. Otherwise, the
    // leader continues with the entry after this index.
    std::uint64_t matchIndex = 0;
    std::chrono::nanoseconds sentAt{0};
    std::vector<boot_record> peerBoots;

    MSGPACK_DEFINE_ARRAY(header, isAccepted, isCounted, matchIndex, sentAt, peerBoots)
};

// Sends a snapshot in place of entries that the leader has compacted. The reply is an append_reply.
struct snapshot_request {
    message_header header;
    snapshot sent;
    std::chrono::nanoseconds sentAt{0};

    MSGPACK_DEFINE_ARRAY(header, sent, sentAt)
};

// Reports a start to the peers. It is resent until enough peers have answered and a leader sends
// entries. From an identity that is not a member it is also a request to join.
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
    // The reason why the sender of the notice must take a new identity; empty if it need not.
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
