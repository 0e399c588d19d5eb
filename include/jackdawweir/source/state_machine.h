// The replicated state of the sources: the accepted document, its versions, the state of its moves,
// the submission table and the history. All replicas apply the same commands in the same order and
// reach the same state.
//
//     state_machine state;
//     const apply_result applied = state.apply(command, entry.term);
//     if (applied.isChanged) {
//         distribute(state.version(), state.resources());
//     }

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/config_version.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/document/configuration.h"
#include "jackdawweir/document/model.h"
#include "jackdawweir/document/move_state.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::source {

// An operator's change.
struct submit_command {
    core::submission_id submission;
    // The version the operator changed; none to replace whatever document is current.
    std::optional<core::config_version> expected;
    core::operator_name submitter;
    document::document submitted;
    // The document as the operator wrote it, which export returns byte for byte.
    std::string original;
    core::wall_time at;

    MSGPACK_DEFINE_ARRAY(submission, expected, submitter, submitted, original, at)
};

// A decision on a move by the leader.
struct decide_command {
    document::move_decision decision;
    core::wall_time at;

    MSGPACK_DEFINE_ARRAY(decision, at)
};

// Records that a ledger replica starts at an address with an empty journal. The first one there has
// granted no key yet; a later one has lost its journal. The nonce tells a repeated request from
// another start.
struct admit_ledger_command {
    core::endpoint address;
    std::uint64_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(address, nonce)
};

// The payload of a log entry: wire::encode(command).
using command = std::variant<submit_command, decide_command, admit_ledger_command>;

enum class submission_outcome : std::uint8_t {
    Accepted,
    Refused,
    Conflict,
};

const char *toString(submission_outcome outcome);

} // namespace jackdawweir::source

MSGPACK_ADD_ENUM(jackdawweir::source::submission_outcome)

namespace jackdawweir::source {

struct submission_result {
    submission_outcome outcome = submission_outcome::Refused;
    // Accepted: the new version. Conflict: the version whose document was accepted first.
    core::config_version version;
    // Refused: why.
    std::string reason;

    friend bool operator==(const submission_result &, const submission_result &) = default;

    MSGPACK_DEFINE_ARRAY(outcome, version, reason)
};

struct apply_result {
    // True where there is a new version to distribute.
    bool isChanged = false;
    // The first result of a submission; nothing for a decision.
    std::optional<submission_result> submission;
};

// One accepted document.
struct change_record {
    core::config_version version;
    core::submission_id submission;
    core::operator_name submitter;
    core::wall_time at;

    friend bool operator==(const change_record &, const change_record &) = default;

    MSGPACK_DEFINE_ARRAY(version, submission, submitter, at)
};

// One change of phase of a move: started, done, reverted or superseded, with the reason.
struct move_record {
    document::move_state state;
    core::config_version version;
    core::wall_time at;

    friend bool operator==(const move_record &, const move_record &) = default;

    MSGPACK_DEFINE_ARRAY(state, version, at)
};

// The first result of a submission, with the log time at which it was given.
struct submission_record {
    core::submission_id submission;
    submission_result result;
    core::wall_time at;

    MSGPACK_DEFINE_ARRAY(submission, result, at)
};

class state_machine
{
public:
    // Results are kept at least this long, and at least this many.
    static constexpr std::chrono::hours submissionRetention{24};
    static constexpr std::size_t submissionsKept = 4096;
    // The history keeps this many changes and as many records of moves; older ones are dropped so
    // that a snapshot stays far below the largest frame.
    static constexpr std::size_t historyKept = 4096;

    // Applies a committed command. `term` is the term of its log entry.
    apply_result apply(const command &committed, std::uint64_t term);

    // Applies the payload of a log entry. Errors: DataLoss where it is no command.
    core::result<apply_result> applyEncoded(std::string_view payload, std::uint64_t term);

    // Returns the first result of a submission, where it is still kept.
    std::optional<submission_result> findSubmission(const core::submission_id &submission) const;

    // Returns the nonce of the first ledger replica admitted at an address.
    std::optional<std::uint64_t> ledgerAdmission(const core::endpoint &address) const;

    const core::config_version &version() const;
    // The version in which the current document was accepted.
    const core::config_version &documentVersion() const;
    const document::document &currentDocument() const;
    const std::string &originalBytes() const;
    const std::vector<document::move_state> &moves() const;
    const document::resource_map &resources() const;
    const std::deque<change_record> &changes() const;
    const std::deque<move_record> &moveHistory() const;

    // Returns the whole state for a snapshot; equal states have equal bytes.
    std::string encode() const;

    // Replaces the state. On an error nothing changes. Errors: DataLoss.
    core::status restore(std::string_view bytes);

private:
    struct state {
        core::config_version version;
        core::config_version documentVersion;
        // Versions that hold the current document; decisions on moves add to them.
        std::vector<core::config_version> documentVersions;
        document::document current;
        std::string original;
        std::vector<document::move_state> moves;
        std::uint64_t lastMoveId = 0;
        core::wall_time logTime;
        std::deque<submission_record> submissions;
        std::deque<change_record> changes;
        std::deque<move_record> moveHistory;
        std::map<core::endpoint, std::uint64_t> ledgerAdmissions;

        MSGPACK_DEFINE_ARRAY(version,
                             documentVersion,
                             documentVersions,
                             current,
                             original,
                             moves,
                             lastMoveId,
                             logTime,
                             submissions,
                             changes,
                             moveHistory,
                             ledgerAdmissions)
    };

    apply_result applySubmission(const submit_command &submitted, std::uint64_t term);
    apply_result applyDecision(const decide_command &decided, std::uint64_t term);
    submission_result decideSubmission(const submit_command &submitted, std::uint64_t term);
    submission_result accept(const submit_command &submitted,
                             std::vector<document::move_state> moves,
                             std::uint64_t term);
    void recordSubmission(const core::submission_id &submission, const submission_result &result);
    void recordMove(const document::move_state &moved);
    void recordMoveChanges(const std::vector<document::move_state> &before);
    void advanceLogTime(core::wall_time at);

    state m_state;
    document::resource_map m_resources;
    // Finds the results of m_state.submissions.
    std::map<core::submission_id, submission_result> m_results;
};

} // namespace jackdawweir::source
