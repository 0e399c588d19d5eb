// The run of one non-idempotent request at a node: claims its key from the ledger replicas, lets
// the driver send it to a backend server, and records what came of it.
//
//     key_claim claim(settings, claim_input{...}, engine);
//     perform(claim.start(now));                 // effects: send_message, run_request,
//     answer_caller perform(claim.receive(from, reply, now)); perform(claim.runFinished(result,
//     now)); while (!claim.isFinished()) { perform(claim.tick(now)); }
//
// Every attempt runs within claimTime of its start or not at all. Replicas keep a refused key from
// being granted for refusalHold, so that an attempt which started before a caller was told
// `not-run` can't run after it.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/ledger/ledger_replica.h"
#include "jackdawweir/ledger/messages.h"

namespace jackdawweir::ledger {

// A request that has not begun to run this long after it reached the node is not run.
constexpr std::chrono::milliseconds claimTime{500};
// A message without a reply is sent again after this time.
constexpr std::chrono::milliseconds claimResend{100};
// The node tries to record an outcome for this time.
constexpr std::chrono::seconds recordTime{10};

enum class claim_mode : std::uint8_t {
    Run,
    // The node sheds the request or has no server for it: it is to be answered as `not-run` if that
    // is certain.
    Refuse,
};

struct claim_input {
    core::request_key key;
    // The key came from the caller, so the request may be a resend. Without it the node issued the
    // key by newKey, and no other attempt can exist.
    bool isCallersKey = false;
    claim_mode mode = claim_mode::Run;
    // Every replica of the ledger.
    std::vector<core::host_name> replicas;
};

enum class caller_outcome : std::uint8_t {
    Done,
    NotRun,
    Unknown,
};

// What came of the attempts at backend servers, by request::classify.
struct run_result {
    caller_outcome outcome = caller_outcome::Unknown;
    // Set where the outcome is Done.
    recorded_outcome response;
};

// The driver sends the request to a backend server now, and reports the end by runFinished. It may
// send it to another server where an attempt ended as `not-run`.
struct run_request {
    core::request_key key;
    attempt_id attempt;
};

// The driver answers the caller. Issued at most once, and exactly once unless the caller has gone.
struct answer_caller {
    caller_outcome outcome = caller_outcome::Unknown;
    // Set where the outcome is Done.
    recorded_outcome response;
    // The outcome is that of this claim's own run, so the driver forwards the response it holds.
    bool isOwnRun = false;
    std::string reason;
};

using claim_effect = std::variant<send_message, run_request, answer_caller>;
using claim_effects = std::vector<claim_effect>;

class key_claim
{
public:
    // Draws the attempt's id from `engine`.
    key_claim(claim_input input, core::random_engine &engine);

    claim_effects start(core::monotonic_time now);
    claim_effects
    receive(const core::host_name &from, const key_reply &reply, core::monotonic_time now);
    claim_effects runFinished(const run_result &result, core::monotonic_time now);
    // The caller's connection closed. A request that runs is not cut off.
    claim_effects callerGone(core::monotonic_time now);
    // To be called at nextDeadline().
    claim_effects tick(core::monotonic_time now);

    // Nothing once the claim has finished, or while the request runs.
    std::optional<core::monotonic_time> nextDeadline() const;
    bool isFinished() const;
    const attempt_id &attempt() const;

private:
    enum class state : std::uint8_t {
        Created,
        Claiming,
        Refusing,
        Running,
        Storing, // Sends an outcome, a refusal or a release until the replicas have stored it.
        Finished,
    };

    // Replicas that gave an answer, with the generation of the journal it is held in.
    using answered_by = std::map<core::host_name, std::uint64_t>;

    std::size_t majority() const;
    bool isMajorityOutOfReach() const;
    bool isInTime(core::monotonic_time now) const;
    // Drops answers of journals that were lost since, as `reply` shows. Returns false where the
    // reply itself comes from such a journal.
    bool learnGenerations(const core::host_name &from, const key_reply &reply);
    void dropLost(answered_by &answered);
    void takeClaimReply(const core::host_name &from, const key_reply &reply);
    void takeRefuseReply(const core::host_name &from, const key_reply &reply);
    void takeStoreReply(const core::host_name &from, const key_reply &reply);
    bool noteRefusal(const core::host_name &from, const key_reply &reply);
    void endAsNotExecuted(caller_outcome outcome, const std::string &reason);
    void endWithRecorded(const key_reply &reply);
    void endInTimeout();
    void answer(const answer_caller &effect);
    void store(ledger_message message, std::set<core::host_name> to, core::monotonic_time now);
    void sendToSilent(core::monotonic_time now);
    claim_effects takeEffects();

    claim_input m_input;
    attempt_id m_attempt;
    state m_state = state::Created;
    bool m_isAnswered = false;
    core::monotonic_time m_now;
    core::monotonic_time m_startedAt;
    core::monotonic_time m_resendAt;
    std::chrono::nanoseconds m_resendDelay = claimResend;
    core::monotonic_time m_storeUntil;
    answered_by m_granted;
    answered_by m_refused;
    std::set<core::host_name> m_blocked;
    std::map<core::host_name, std::uint64_t> m_generations;
    // Sent again to these replicas until they have answered it.
    std::optional<ledger_message> m_outstanding;
    std::set<core::host_name> m_silent;
    claim_effects m_effects;
};

} // namespace jackdawweir::ledger
