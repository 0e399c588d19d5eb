// Messages of wire::channel::Control: requests of the operators' consoles to the sources, and the
// admission of ledger replicas.
//
// A reply repeats the id of its request. A source that holds no leader lease replies with
// not_leader unless the request allows a stale reply.

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/config_version.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/document/move_state.h"
#include "jackdawweir/source/state_machine.h"

namespace jackdawweir::daemon {

struct submit_request {
    std::uint64_t requestId = 0;
    core::submission_id submission;
    // Whether the submission applies only if `expected` is the current version.
    bool hasExpected = false;
    core::config_version expected;
    std::string yaml;

    MSGPACK_DEFINE_ARRAY(requestId, submission, hasExpected, expected, yaml)
};

struct submit_reply {
    std::uint64_t requestId = 0;
    source::submission_result result;

    MSGPACK_DEFINE_ARRAY(requestId, result)
};

// Requests the state that consoles show to operators.
struct state_request {
    std::uint64_t requestId = 0;
    bool allowsStale = false;

    MSGPACK_DEFINE_ARRAY(requestId, allowsStale)
};

struct state_reply {
    std::uint64_t requestId = 0;
    core::config_version version;
    core::config_version documentVersion;
    std::string original;
    std::vector<document::move_state> moves;
    std::vector<source::change_record> changes;
    std::vector<source::move_record> moveHistory;

    MSGPACK_DEFINE_ARRAY(requestId, version, documentVersion, original, moves, changes, moveHistory)
};

// Sent by a source that is not the leader; `leader` is empty if the source does not know the
// leader.
struct not_leader {
    std::uint64_t requestId = 0;
    core::endpoint leader;
    std::string reason;

    MSGPACK_DEFINE_ARRAY(requestId, leader, reason)
};

// Sent by a source that started without a ledger journal, to find out whether its ledger replica is
// new or has lost its journal. The nonce is generated for each start, so that a retried request
// gets the same reply as the first one.
struct ledger_admission_request {
    core::endpoint address;
    std::uint64_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(address, nonce)
};

struct ledger_admission_reply {
    std::uint64_t nonce = 0;
    // True if no ledger replica at this address has granted a key before.
    bool isFirst = false;

    MSGPACK_DEFINE_ARRAY(nonce, isFirst)
};

using control_message = std::variant<submit_request,
                                     submit_reply,
                                     state_request,
                                     state_reply,
                                     not_leader,
                                     ledger_admission_request,
                                     ledger_admission_reply>;

} // namespace jackdawweir::daemon
