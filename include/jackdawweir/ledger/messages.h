// Messages of the ledger channel and records of its journal.
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

// A larger response body is not recorded; a resend then gets the status only.
constexpr std::size_t maxRecordedBody = 64U << 10U;

// One run of a request through one node, drawn at random for each.
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
    // The body was larger than maxRecordedBody and is not kept.
    bool bodyOmitted = false;

    friend bool operator==(const recorded_outcome &, const recorded_outcome &) = default;

    MSGPACK_DEFINE_ARRAY(status, contentType, body, bodyOmitted)
};

enum class key_phase : std::uint8_t {
    Free,
    Granted, // Granted to the owner, which may have run the request.
    Refused, // A caller was told `not-run`; no attempt is granted the key until the hold ends.
    Recorded, // The outcome of the owner's run is known.
};

enum class key_answer : std::uint8_t {
    Granted,
    HeldByOther, // Another attempt holds the grant, or may have held it.
    Refused, // The refusal is recorded, or an earlier one still holds.
    Recorded, // The outcome, or that it has been stored.
    Withdrawn, // This attempt gave the key up earlier.
    NotReady, // The replica recovers or its journal failed; it says nothing about the key.
    Expired, // The key is too old or too far ahead for this replica.
};

} // namespace jackdawweir::ledger

MSGPACK_ADD_ENUM(jackdawweir::ledger::key_phase)
MSGPACK_ADD_ENUM(jackdawweir::ledger::key_answer)

namespace jackdawweir::ledger {

// The number of a replica's journal. It rises whenever the replica starts with a lost journal, so
// that a grant of the lost journal no longer counts.
struct replica_generation {
    core::host_name replica;
    std::uint64_t generation = 0;

    friend bool operator==(const replica_generation &, const replica_generation &) = default;

    MSGPACK_DEFINE_ARRAY(replica, generation)
};

// Asks for the grant of a key.
struct claim_request {
    core::request_key key;
    attempt_id attempt;

    MSGPACK_DEFINE_ARRAY(key, attempt)
};

// Asks that no attempt run before the hold ends: the node tells, or has told, its caller that the
// request was not run. Sent for a free key, or by the owner of a grant that sent no byte.
struct refuse_request {
    core::request_key key;
    attempt_id attempt;

    MSGPACK_DEFINE_ARRAY(key, attempt)
};

// Gives a grant up. Sent by its owner only, and only where no byte was sent.
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
    // The rest of the hold of a refusal.
    std::chrono::nanoseconds hold{0};
    // Of the replica that answers, and what it knows of the others.
    std::uint64_t generation = 0;
    std::vector<replica_generation> others;

    MSGPACK_DEFINE_ARRAY(key, attempt, answer, outcome, hold, generation, others)
};

// Sent by a replica that lost its journal, to learn its highest generation.
struct recovery_probe {
    std::uint64_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(nonce)
};

struct recovery_probe_reply {
    std::uint64_t nonce = 0;
    bool intact = false;
    std::uint64_t askersGeneration = 0;
    std::uint64_t ownGeneration = 0;

    MSGPACK_DEFINE_ARRAY(nonce, intact, askersGeneration, ownGeneration)
};

// Asks for the records after a key. The replica that answers stores the asker's new generation
// first.
struct recovery_page_request {
    std::uint64_t generation = 0;
    core::request_key after;

    MSGPACK_DEFINE_ARRAY(generation, after)
};

// The state of one key, in the journal and between replicas.
struct key_record {
    core::request_key key;
    key_phase phase = key_phase::Free;
    // Of a grant, a refusal or an outcome.
    attempt_id owner;
    // The owner is not known for certain after a recovery, so no attempt is granted the key.
    bool ownerDisputed = false;
    recorded_outcome outcome;
    // Attempts that gave the key up; a delayed claim of theirs is not granted.
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
    // Of the replica that answers, and what it knows of the others.
    std::uint64_t ownGeneration = 0;
    std::vector<replica_generation> others;

    MSGPACK_DEFINE_ARRAY(generation, after, records, more, ownGeneration, others)
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

// Every key issued before `seconds` has been forgotten and is never granted again.
struct forgotten_record {
    std::int64_t seconds = 0;

    MSGPACK_DEFINE_ARRAY(seconds)
};

// Marks the journal as complete: written by a first start and at the end of a recovery. A journal
// without it is a lost one.
struct intact_record {
    std::uint64_t generation = 0;

    MSGPACK_DEFINE_ARRAY(generation)
};

using journal_record
    = std::variant<key_record, replica_generation, forgotten_record, intact_record>;

} // namespace jackdawweir::ledger
