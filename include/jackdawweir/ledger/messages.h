// Messages between nodes and ledger replicas, and the records of a replica's journal.
//
//     const std::string bytes = wire::encode(ledger_message{claim_request{key, attempt}});

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/names.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::ledger {

// A larger response body is not recorded; a resend then gets the response without its body.
constexpr std::size_t maxRecordedBody = 64U << 10U;

// Identifies one attempt of a request at one node. Drawn at random for each attempt.
struct attempt_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const attempt_id &, const attempt_id &) = default;

    MSGPACK_DEFINE_ARRAY(high, low)
};

// The response to the one execution of a request.
struct recorded_outcome {
    std::int32_t status = 0;
    std::string contentType;
    std::string body;
    // The body was larger than maxRecordedBody and is not stored.
    bool bodyOmitted = false;

    friend bool operator==(const recorded_outcome &, const recorded_outcome &) = default;

    MSGPACK_DEFINE_ARRAY(status, contentType, body, bodyOmitted)
};

enum class key_phase : std::uint8_t {
    Free,
    Granted, // Granted to the owner, which may have run the request.
    Refused, // `not-run` was or will be answered; the key is not granted until the hold ends.
    Recorded, // The outcome of the owner's run is stored.
};

enum class key_answer : std::uint8_t {
    Granted,
    HeldByOther, // Another attempt holds the grant, or may have held it.
    Refused, // The refusal is stored, or an earlier refusal is still in force.
    Recorded, // The reply carries the stored outcome, or confirms that it has been stored.
    Withdrawn, // This attempt released the key earlier.
    NotReady, // The replica is recovering or its journal failed; the state of the key is not known.
    Expired, // The key is too old or too far in the future for this replica.
};

} // namespace jackdawweir::ledger

MSGPACK_ADD_ENUM(jackdawweir::ledger::key_phase)
MSGPACK_ADD_ENUM(jackdawweir::ledger::key_answer)

namespace jackdawweir::ledger {

// The generation of a replica's journal. It increases whenever the replica starts with a lost
// journal, so that grants of the lost journal no longer count.
struct replica_generation {
    core::host_name replica;
    std::uint64_t generation = 0;

    friend bool operator==(const replica_generation &, const replica_generation &) = default;

    MSGPACK_DEFINE_ARRAY(replica, generation)
};

// Asks a replica to grant a key to an attempt.
struct claim_request {
    core::request_key key;
    attempt_id attempt;

    MSGPACK_DEFINE_ARRAY(key, attempt)
};

// Requests that a replica does not grant a key until the hold ends, because the node is about to
// report to its caller, or has reported, that the request was not run. Sent for a free key, or by
// the owner of a grant that has sent no byte of the request to a backend server.
struct refuse_request {
    core::request_key key;
    attempt_id attempt;

    MSGPACK_DEFINE_ARRAY(key, attempt)
};

// Releases a key. Sent only by an attempt that has sent no byte of the request to a backend server.
struct release_request {
    core::request_key key;
    attempt_id attempt;

    MSGPACK_DEFINE_ARRAY(key, attempt)
};

// Stores the outcome of the owner's run.
struct record_request {
    core::request_key key;
    attempt_id attempt;
    recorded_outcome outcome;

    MSGPACK_DEFINE_ARRAY(key, attempt, outcome)
};

struct key_reply {
    core::request_key key;
    attempt_id attempt;
    key_answer answer = key_answer::NotReady;
    recorded_outcome outcome;
    // Remaining time of a refusal's hold.
    std::chrono::nanoseconds remainingHold{0};
    // The generation of the replica that answers, and the generations it knows of the others.
    std::uint64_t generation = 0;
    std::vector<replica_generation> others;

    MSGPACK_DEFINE_ARRAY(key, attempt, answer, outcome, remainingHold, generation, others)
};

// Sent by a replica that lost its journal to learn its highest known generation.
struct recovery_probe {
    std::uint64_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(nonce)
};

struct recovery_probe_reply {
    std::uint64_t nonce = 0;
    // The replica that answers is ready, so its journal is neither lost nor failed.
    bool intact = false;
    std::uint64_t requesterGeneration = 0;
    std::uint64_t responderGeneration = 0;

    MSGPACK_DEFINE_ARRAY(nonce, intact, requesterGeneration, responderGeneration)
};

// Asks for the records after a key. The replica that answers first stores the new generation of the
// requester.
struct recovery_page_request {
    std::uint64_t generation = 0;
    core::request_key after;

    MSGPACK_DEFINE_ARRAY(generation, after)
};

// The state of one key, as written to the journal and sent between replicas.
struct key_record {
    core::request_key key;
    key_phase phase = key_phase::Free;
    // The attempt that holds the grant, requested the refusal or stored the outcome.
    attempt_id owner;
    // The owner is uncertain after a recovery, so no attempt is granted the key.
    bool ownerDisputed = false;
    recorded_outcome outcome;
    // Attempts that released the key; their delayed claims are not granted.
    std::vector<attempt_id> withdrawn;

    friend bool operator==(const key_record &, const key_record &) = default;

    MSGPACK_DEFINE_ARRAY(key, phase, owner, ownerDisputed, outcome, withdrawn)
};

struct recovery_page {
    std::uint64_t generation = 0;
    core::request_key after;
    std::vector<key_record> records;
    // More records follow the last one.
    bool more = false;
    // The generation of the replica that answers, and the generations it knows of the others.
    std::uint64_t responderGeneration = 0;
    std::vector<replica_generation> others;

    MSGPACK_DEFINE_ARRAY(generation, after, records, more, responderGeneration, others)
};

using ledger_message = std::variant<claim_request,
                                    refuse_request,
                                    release_request,
                                    record_request,
                                    key_reply,
                                    recovery_probe,
                                    recovery_probe_reply,
                                    recovery_page_request,
                                    recovery_page>;

// Every key issued before the Unix time `seconds` has been removed and is never granted again.
struct expired_keys_record {
    std::int64_t seconds = 0;

    MSGPACK_DEFINE_ARRAY(seconds)
};

// Marks the journal as complete. Written at the first start and at the end of a recovery; a journal
// without it counts as lost.
struct journal_complete_record {
    std::uint64_t generation = 0;

    MSGPACK_DEFINE_ARRAY(generation)
};

using journal_record
    = std::variant<key_record, replica_generation, expired_keys_record, journal_complete_record>;

} // namespace jackdawweir::ledger
