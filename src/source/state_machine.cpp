#include "jackdawweir/source/state_machine.h"

#include <algorithm>
#include <utility>

#include "jackdawweir/wire/codec.h"
#include "source/move_rules.h"

namespace jackdawweir::source {

namespace {

// The largest number of versions that are stored for the current document. Each decision on a move
// adds one; when the oldest ones are dropped, a submission that expects one of them is a conflict.
constexpr std::size_t maxDocumentVersions = 4096;

template<typename Record>
void appendBounded(std::deque<Record> &records, Record added, std::size_t limit)
{
    records.push_back(std::move(added));
    if (records.size() > limit) {
        records.pop_front();
    }
}

submission_result refused(std::string reason)
{
    return submission_result{submission_outcome::Refused, {}, std::move(reason)};
}

core::config_version nextVersion(const core::config_version &current,
                                 std::uint64_t term,
                                 const document::resource_map &resources)
{
    return core::config_version{term, current.number + 1, document::digestOf(resources)};
}

} // namespace

const char *toString(submission_outcome outcome)
{
    switch (outcome) {
    case submission_outcome::Accepted:
        return "accepted";
    case submission_outcome::Refused:
        return "refused";
    case submission_outcome::Conflict:
        return "conflict";
    }
    return "unknown";
}

apply_result state_machine::apply(const command &committed, std::uint64_t term)
{
    if (const auto *submitted = std::get_if<submit_command>(&committed)) {
        return applySubmission(*submitted, term);
    }
    if (const auto *admitted = std::get_if<admit_ledger_command>(&committed)) {
        m_state.ledgerAdmissions.emplace(admitted->address, admitted->nonce);
        return apply_result{};
    }
    return applyDecision(std::get<decide_command>(committed), term);
}

std::optional<std::uint64_t> state_machine::ledgerAdmission(const core::endpoint &address) const
{
    const auto found = m_state.ledgerAdmissions.find(address);
    return found == m_state.ledgerAdmissions.end() ? std::nullopt : std::optional(found->second);
}

core::result<apply_result> state_machine::applyEncoded(std::string_view payload, std::uint64_t term)
{
    const core::result<command> decoded = wire::decode<command>(payload, core::endpoint{});
    if (const core::error *failure = core::errorIn(decoded)) {
        return *failure;
    }
    return apply(core::valueIn(decoded), term);
}

apply_result state_machine::applySubmission(const submit_command &submitted, std::uint64_t term)
{
    advanceLogTime(submitted.at);
    if (std::optional<submission_result> first = findSubmission(submitted.submission)) {
        return apply_result{false, std::move(first)};
    }
    submission_result decided = decideSubmission(submitted, term);
    recordSubmission(submitted.submission, decided);
    const bool isChanged = decided.outcome == submission_outcome::Accepted;
    return apply_result{isChanged, std::move(decided)};
}

submission_result state_machine::decideSubmission(const submit_command &submitted,
                                                  std::uint64_t term)
{
    const std::vector<core::config_version> &currentVersions = m_state.documentVersions;
    const bool isOutdated = submitted.expected
        && std::find(currentVersions.begin(), currentVersions.end(), *submitted.expected)
            == currentVersions.end()
        && !(submitted.expected->isNone() && m_state.version.isNone());
    if (isOutdated) {
        return submission_result{submission_outcome::Conflict, m_state.documentVersion, {}};
    }
    core::result<std::vector<document::move_state>> moves = movesAfterSubmission(
        m_state.current, submitted.submitted, m_state.moves, m_state.lastMoveId, m_state.logTime);
    if (const core::error *failure = core::errorIn(moves)) {
        return refused(failure->message);
    }
    return accept(submitted, core::valueIn(std::move(moves)), term);
}

submission_result state_machine::accept(const submit_command &submitted,
                                        std::vector<document::move_state> moves,
                                        std::uint64_t term)
{
    document::resource_map resources = document::toResources(submitted.submitted, moves);
    const core::config_version version = nextVersion(m_state.version, term, resources);
    // Refuses a document that no node could activate, for instance with a route to a missing
    // service.
    const core::result<document::configuration> built
        = document::configurationFrom(version, resources);
    if (const core::error *failure = core::errorIn(built)) {
        return refused(failure->message);
    }
    const std::vector<document::move_state> before = std::exchange(m_state.moves, std::move(moves));
    m_state.version = version;
    m_state.documentVersion = version;
    m_state.documentVersions = {version};
    m_state.current = submitted.submitted;
    m_state.original = submitted.original;
    m_resources = std::move(resources);
    appendBounded(
        m_state.changes,
        change_record{version, submitted.submission, submitted.submitter, m_state.logTime},
        maxHistoryRecords);
    recordMoveChanges(before);
    return submission_result{submission_outcome::Accepted, version, {}};
}

void state_machine::recordMoveChanges(const std::vector<document::move_state> &before)
{
    for (const document::move_state &old : before) {
        const bool isStillPresent
            = std::any_of(m_state.moves.begin(), m_state.moves.end(), [&old](const auto &each) {
                  return each.id == old.id;
              });
        if (!isStillPresent && old.phase == document::move_phase::Running) {
            document::move_state ended = old;
            ended.phase = document::move_phase::Superseded;
            ended.reason = "a new document dropped the move or changed the service's versions";
            recordMove(ended);
        }
    }
    for (const document::move_state &moveState : m_state.moves) {
        if (moveState.id > m_state.lastMoveId) {
            m_state.lastMoveId = moveState.id;
            recordMove(moveState);
        }
    }
}

apply_result state_machine::applyDecision(const decide_command &decided, std::uint64_t term)
{
    advanceLogTime(decided.at);
    const document::move_decision &decision = decided.decision;
    const auto found = std::find_if(
        m_state.moves.begin(), m_state.moves.end(), [&decision](const document::move_state &each) {
            return each.id == decision.moveId;
        });
    if (found == m_state.moves.end() || !isDecisionValid(decision, *found)) {
        return {};
    }
    const bool isPhaseChanged = found->phase != decision.phase;
    found->phase = decision.phase;
    found->newShareBasisPoints = decision.newShareBasisPoints;
    found->reason = decision.reason;
    m_resources = document::toResources(m_state.current, m_state.moves);
    m_state.version = nextVersion(m_state.version, term, m_resources);
    m_state.documentVersions.push_back(m_state.version);
    if (m_state.documentVersions.size() > maxDocumentVersions) {
        m_state.documentVersions.erase(m_state.documentVersions.begin());
    }
    if (isPhaseChanged) {
        recordMove(*found);
    }
    return apply_result{true, std::nullopt};
}

void state_machine::recordMove(const document::move_state &moved)
{
    appendBounded(m_state.moveHistory,
                  move_record{moved, m_state.version, m_state.logTime},
                  maxHistoryRecords);
}

void state_machine::recordSubmission(const core::submission_id &submission,
                                     const submission_result &result)
{
    m_state.submissions.push_back(submission_record{submission, result, m_state.logTime});
    m_results.emplace(submission, result);
    while (m_state.submissions.size() > minSubmissionsKept
           && m_state.submissions.front().at + submissionRetention < m_state.logTime) {
        m_results.erase(m_state.submissions.front().submission);
        m_state.submissions.pop_front();
    }
}

// Keeps log time from going back, since the clocks of successive leaders differ.
void state_machine::advanceLogTime(core::wall_time at)
{
    m_state.logTime = std::max(m_state.logTime, at);
}

std::optional<submission_result>
state_machine::findSubmission(const core::submission_id &submission) const
{
    const auto found = m_results.find(submission);
    return found == m_results.end() ? std::nullopt : std::optional(found->second);
}

const core::config_version &state_machine::version() const
{
    return m_state.version;
}

const core::config_version &state_machine::documentVersion() const
{
    return m_state.documentVersion;
}

const document::document &state_machine::currentDocument() const
{
    return m_state.current;
}

const std::string &state_machine::originalBytes() const
{
    return m_state.original;
}

const std::vector<document::move_state> &state_machine::moves() const
{
    return m_state.moves;
}

const document::resource_map &state_machine::resources() const
{
    return m_resources;
}

const std::deque<change_record> &state_machine::changes() const
{
    return m_state.changes;
}

const std::deque<move_record> &state_machine::moveHistory() const
{
    return m_state.moveHistory;
}

std::string state_machine::encode() const
{
    return wire::encodeValue(m_state);
}

core::status state_machine::restore(std::string_view bytes)
{
    core::result<state> decoded = wire::decodeValue<state>(bytes);
    if (const core::error *failure = core::errorIn(decoded)) {
        return *failure;
    }
    state &restored = std::get<0>(decoded);
    document::resource_map resources = document::toResources(restored.current, restored.moves);
    const bool isDigestValid = restored.version.isNone()
        || document::digestOf(resources) == restored.version.contentDigest;
    if (!isDigestValid) {
        return core::error{core::error_code::DataLoss,
                           "restore-state",
                           "",
                           "resources do not match the digest of the version"};
    }
    m_state = std::move(restored);
    m_resources = std::move(resources);
    m_results.clear();
    for (const submission_record &each : m_state.submissions) {
        m_results.emplace(each.submission, each.result);
    }
    return core::okStatus();
}

} // namespace jackdawweir::source
