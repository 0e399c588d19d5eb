// The replicated state machine of the sources. It holds the accepted document, its versions, the
// state of its moves, the results of submissions and the history. Replicas that apply the same
// commands in the same order reach the same state.
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

// A document that an operator submits.
struct submit_command {
    core::submission_id submission;
    // The version that the document is based on; without it, the document replaces the current one
    // unconditionally.
    std::optional<core::config_version> expected;
    core::operator_name submitter;
    document::document submitted;
    // The text of the document as submitted; export returns it byte for byte.
    std::string original;
    core::wall_time at;

    MSGPACK_DEFINE_ARRAY(submission, expected, submitter, submitted, original, at)
};

// The leader's decision on a move.
struct decide_command {
    document::move_decision decision;
    core::wall_time at;

    MSGPACK_DEFINE_ARRAY(decision, at)
};

// Records that the ledger replica at an address started with an empty journal. On the first such
// start the replica is new and has granted no key; on a later one it has lost its journal. The
// nonce distinguishes a retried request from another start.
struct admit_ledger_command {
    core::endpoint address;
    std::uint64_t nonce = 0;

    MSGPACK_DEFINE_ARRAY(address, nonce)
};

// The payload of a log entry, encoded with wire::encode(command).
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
    // Accepted: the new version. Conflict: the version in which the current document was accepted
    // before this submission.
    core::config_version version;
    // Refused: the reason.
    std::string reason;

    friend bool operator==(const submission_result &, const submission_result &) = default;

    MSGPACK_DEFINE_ARRAY(outcome, version, reason)
};

struct apply_result {
    // True if there is a new version to distribute.
    bool isChanged = false;
    // The first result of the submission; empty for commands of other types.
    std::optional<submission_result> submission;
};

// The history entry of an accepted document.
struct change_record {
    core::config_version version;
    core::submission_id submission;
    core::operator_name submitter;
    core::wall_time at;

    friend bool operator==(const change_record &, const change_record &) = default;

    MSGPACK_DEFINE_ARRAY(version, submission, submitter, at)
};

// The history entry of a phase change of a move: started, done, reverted or superseded. The state
// includes the reason.
struct move_record {
    document::move_state state;
    core::config_version version;
    core::wall_time at;

    friend bool operator==(const move_record &, const move_record &) = default;

    MSGPACK_DEFINE_ARRAY(state, version, at)
};

// The first result of a submission and the log time at which it was decided.
struct submission_record {
    core::submission_id submission;
    submission_result result;
    core::wall_time at;

    MSGPACK_DEFINE_ARRAY(submission, result, at)
};

class state_machine
{
public:
    // A result is dropped only when it is older than `submissionRetention` and more than
    // `minSubmissionsKept` results are stored.
    static constexpr std::chrono::hours submissionRetention{24};
    static constexpr std::size_t minSubmissionsKept = 4096;
    // The largest number of change records and, separately, of move records in the history. Older
    // ones are dropped so that a snapshot stays far below the maximum frame size.
    static constexpr std::size_t maxHistoryRecords = 4096;

    // Applies a committed command. `term` is the term of its log entry.
    apply_result apply(const command &committed, std::uint64_t term);

    // Applies the payload of a log entry. Errors: DataLoss if it does not decode.
    core::result<apply_result> applyEncoded(std::string_view payload, std::uint64_t term);

    // Returns the first result of a submission if it is still stored.
    std::optional<submission_result> findSubmission(const core::submission_id &submission) const;

    // Returns the nonce of the first admission of a ledger replica at an address.
    std::optional<std::uint64_t> ledgerAdmission(const core::endpoint &address) const;

    const core::config_version &version() const;
    // The version that was created when the current document was accepted.
    const core::config_version &documentVersion() const;
    const document::document &currentDocument() const;
    const std::string &originalBytes() const;
    const std::vector<document::move_state> &moves() const;
    const document::resource_map &resources() const;
    const std::deque<change_record> &changes() const;
    const std::deque<move_record> &moveHistory() const;

    // Encodes the whole state for a snapshot. Equal states have equal encodings.
    std::string encode() const;

    // Replaces the state by an encoded one. Errors: DataLoss, after which the state is unchanged.
    core::status restore(std::string_view bytes);

private:
    struct state {
        core::config_version version;
        core::config_version documentVersion;
        // Versions of the current document. Each decision on a move adds one.
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
    // Index of m_state.submissions by submission id.
    std::map<core::submission_id, submission_result> m_results;
};

} // namespace jackdawweir::source
