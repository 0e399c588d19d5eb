// State machine of one non-idempotent request at a node. It claims the request key from a majority
// of the ledger replicas, has its driver send the request to a backend server, and stores the
// outcome at the replicas.
//
//     key_claim claim(claim_input{...}, engine);
//     // Each call returns effects: send_message, run_request or answer_caller.
//     perform(claim.start(now));
//     perform(claim.receive(from, reply, now));
//     perform(claim.runFinished(result, now));
//     while (!claim.isFinished()) { perform(claim.tick(now)); }
//
// An attempt begins to run within claimTime of its start or not at all. Replicas do not grant a
// refused key for refusalHold, so an attempt that started before a caller received `not-run` can't
// run afterwards.

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

// A request that has not begun to run within this time after it reached the node is not run.
constexpr std::chrono::milliseconds claimTime{500};
// Delay before a message without a reply is sent again.
constexpr std::chrono::milliseconds claimResend{100};
// Time after which the node stops trying to store an outcome, a refusal or a release.
constexpr std::chrono::seconds recordTime{10};

enum class claim_mode : std::uint8_t {
    Run,
    // The node sheds the request or has no server for it. The caller is answered `not-run` if it
    // is certain that no attempt has run or will run.
    Refuse,
};

struct claim_input {
    core::request_key key;
    // True if the key came from the caller, so that the request may be a resend. False if the node
    // issued the key with newKey, so that no other attempt can exist.
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

// The result of the attempts at backend servers, as determined by request::classify.
struct run_result {
    caller_outcome outcome = caller_outcome::Unknown;
    // Set if the outcome is Done.
    recorded_outcome response;
};

// Tells the driver to send the request to a backend server now and to report the result with
// runFinished. The driver may try another server if an attempt ended as `not-run`.
struct run_request {
    core::request_key key;
    attempt_id attempt;
};

// Tells the driver to answer the caller. Issued at most once, and exactly once unless the caller
// has disconnected.
struct answer_caller {
    caller_outcome outcome = caller_outcome::Unknown;
    // Set if the outcome is Done.
    recorded_outcome response;
    // The outcome is that of this claim's own run, so the driver forwards the response it received.
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
    // To be called when the caller's connection has closed. A running request is not cancelled.
    claim_effects callerDisconnected(core::monotonic_time now);
    // To be called at the time that nextDeadline() returns.
    claim_effects tick(core::monotonic_time now);

    // Returns nothing while the request runs and once the claim has finished.
    std::optional<core::monotonic_time> nextDeadline() const;
    bool isFinished() const;
    const attempt_id &attempt() const;

private:
    enum class state : std::uint8_t {
        Created,
        Claiming,
        Refusing,
        Running,
        Storing, // Resends an outcome, a refusal or a release until the replicas have stored it.
        Finished,
    };

    // The replicas that gave an answer, and the generation of the journal that contains it.
    using answer_generations = std::map<core::host_name, std::uint64_t>;

    std::size_t majority() const;
    bool isMajorityOutOfReach() const;
    bool isInTime(core::monotonic_time now) const;
    // Updates m_generations from `reply` and drops the answers of journals that are thereby known
    // to be lost. Returns false if the reply itself comes from a lost journal.
    bool learnGenerations(const core::host_name &from, const key_reply &reply);
    void dropOutdatedAnswers(answer_generations &answered);
    void handleClaimReply(const core::host_name &from, const key_reply &reply);
    void handleRefuseReply(const core::host_name &from, const key_reply &reply);
    void handleStoreReply(const core::host_name &from, const key_reply &reply);
    bool countRefusal(const core::host_name &from, const key_reply &reply);
    void endWithoutRun(caller_outcome outcome, const std::string &reason);
    void endWithRecordedOutcome(const key_reply &reply);
    void endOnTimeout();
    void answer(const answer_caller &effect);
    void store(ledger_message message, std::set<core::host_name> to, core::monotonic_time now);
    void sendOutstanding(core::monotonic_time now);
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
    answer_generations m_granted;
    answer_generations m_refused;
    // Replicas whose answer rules out their part in the majority that is sought.
    std::set<core::host_name> m_denied;
    std::map<core::host_name, std::uint64_t> m_generations;
    // The current message; it is resent to m_pendingReplicas until they have answered it.
    std::optional<ledger_message> m_outstanding;
    std::set<core::host_name> m_pendingReplicas;
    claim_effects m_effects;
};

} // namespace jackdawweir::ledger
