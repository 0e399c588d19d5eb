// Requests of operators' consoles to the sources, sent on wire::channel::Control.
//
// A request carries a number that its reply repeats. A source that holds no leader lease answers
// not_leader, unless the request allows a stale answer.

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
    std::uint64_t number = 0;
    core::submission_id submission;
    // Whether `expected` must be the current version.
    bool hasExpected = false;
    core::config_version expected;
    std::string yaml;

    MSGPACK_DEFINE_ARRAY(number, submission, hasExpected, expected, yaml)
};

struct submit_reply {
    std::uint64_t number = 0;
    source::submission_result result;

    MSGPACK_DEFINE_ARRAY(number, result)
};

// Asks for the state that operators read.
struct state_request {
    std::uint64_t number = 0;
    bool allowsStale = false;

    MSGPACK_DEFINE_ARRAY(number, allowsStale)
};

struct state_reply {
    std::uint64_t number = 0;
    core::config_version version;
    core::config_version documentVersion;
    std::string original;
    std::vector<document::move_state> moves;
    std::vector<source::change_record> changes;
    std::vector<source::move_record> moveHistory;

    MSGPACK_DEFINE_ARRAY(number, version, documentVersion, original, moves, changes, moveHistory)
};

// This source does not lead; `leader` is empty where it does not know who does.
struct not_leader {
    std::uint64_t number = 0;
    core::endpoint leader;
    std::string reason;

    MSGPACK_DEFINE_ARRAY(number, leader, reason)
};

// A source without a journal asks whether its ledger replica ever existed. The nonce is drawn for
// each start, so that a repeated request gets the first answer.
struct ledger_admission_request {
    core::endpoint address;
    std::uint64_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(address, nonce)
};

struct ledger_admission_reply {
    std::uint64_t nonce = 0;
    // True where no ledger replica at this address has granted a key before.
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
