// Runs the key claims of this node's non-idempotent requests on the loop. The request threads block
// until a claim is decided.

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "daemon/event_loop.h"
#include "daemon/process_context.h"
#include "jackdawweir/ledger/key_claim.h"
#include "jackdawweir/proxy/key_ledger.h"

namespace jackdawweir::daemon {

class node_ledger final : public proxy::key_ledger
{
public:
    // The host name of a ledger replica is the mesh endpoint of its source.
    node_ledger(process_context &context, event_loop &loop, mesh_send send);

    proxy::claim_decision claim(const core::request_key &callersKey,
                                ledger::claim_mode mode) override;
    ledger::answer_caller finish(const proxy::run_permit &permit,
                                 const ledger::run_result &ended) override;

    // The functions below must be called on the loop.
    void handle(const core::endpoint &peer,
                const ledger::ledger_message &received,
                core::monotonic_time now);
    void tick(core::monotonic_time now);

private:
    // Passes the decisions of a claim from the loop to the request thread that waits for them.
    struct waiter {
        std::mutex mutex;
        std::condition_variable changed;
        std::optional<ledger::run_request> permit;
        std::optional<ledger::answer_caller> answer;
    };

    struct active_claim {
        std::unique_ptr<ledger::key_claim> machine;
        std::shared_ptr<waiter> waiting;
    };

    void startClaim(std::uint64_t number,
                    const ledger::claim_input &input,
                    const std::shared_ptr<waiter> &waiting);
    void perform(std::uint64_t number, const ledger::claim_effects &wanted);
    void removeIfFinished(std::uint64_t number);

    process_context &m_context;
    event_loop &m_loop;
    mesh_send m_send;
    std::vector<core::host_name> m_replicas;
    core::random_engine m_engine;
    std::atomic<std::uint64_t> m_lastNumber{0};
    std::map<std::uint64_t, active_claim> m_claims;
    std::map<ledger::attempt_id, std::uint64_t> m_claimNumbers;
    std::mutex m_waitersMutex;
    std::map<std::uint64_t, std::shared_ptr<waiter>> m_waiters;
};

} // namespace jackdawweir::daemon
