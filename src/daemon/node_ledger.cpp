#include "daemon/node_ledger.h"

#include <random>
#include <utility>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

ledger::answer_caller unknownAnswer(std::string reason)
{
    ledger::answer_caller answer;
    answer.outcome = ledger::caller_outcome::Unknown;
    answer.reason = std::move(reason);
    return answer;
}

} // namespace

node_ledger::node_ledger(process_context &context, event_loop &loop, mesh_send send)
    : m_context(context)
    , m_loop(loop)
    , m_send(std::move(send))
    , m_engine(std::random_device()())
{
    for (const core::endpoint &source : context.settings.sources) {
        m_replicas.push_back(core::host_name{source.value});
    }
}

proxy::claim_decision node_ledger::claim(const core::request_key &callersKey,
                                         ledger::claim_mode mode)
{
    ledger::claim_input input;
    input.isCallersKey = !callersKey.empty();
    input.key = callersKey;
    input.mode = mode;
    input.replicas = m_replicas;
    if (input.isCallersKey) {
        const core::status usable = ledger::checkKey(callersKey, m_context.clock.wallNow());
        if (const core::error *failure = core::errorIn(usable)) {
            return unknownAnswer(failure->message);
        }
    }
    const std::uint64_t number = ++m_lastNumber;
    const auto waiting = std::make_shared<waiter>();
    m_loop.post([this, number, input, waiting] { startClaim(number, input, waiting); });

    std::unique_lock guard(waiting->mutex);
    waiting->changed.wait(guard, [&waiting] { return waiting->permit || waiting->answer; });
    if (waiting->answer) {
        return *waiting->answer;
    }
    const std::lock_guard waiters(m_waitersMutex);
    m_waiters[number] = waiting;
    return proxy::run_permit{number, waiting->permit->key};
}

void node_ledger::startClaim(std::uint64_t number,
                             const ledger::claim_input &input,
                             const std::shared_ptr<waiter> &waiting)
{
    ledger::claim_input completedInput = input;
    if (!completedInput.isCallersKey) {
        completedInput.key = ledger::newKey(m_context.clock.wallNow(), m_engine);
    }
    active_claim &started = m_claims[number];
    started.machine = std::make_unique<ledger::key_claim>(std::move(completedInput), m_engine);
    started.waiting = waiting;
    m_claimNumbers[started.machine->attempt()] = number;
    perform(number, started.machine->start(m_context.clock.monotonicNow()));
}

ledger::answer_caller node_ledger::finish(const proxy::run_permit &permit,
                                          const ledger::run_result &ended)
{
    std::shared_ptr<waiter> waiting;
    {
        const std::lock_guard waiters(m_waitersMutex);
        waiting = m_waiters.extract(permit.claim).mapped();
    }
    m_loop.post([this, number = permit.claim, ended] {
        const auto found = m_claims.find(number);
        if (found != m_claims.end()) {
            perform(number,
                    found->second.machine->runFinished(ended, m_context.clock.monotonicNow()));
        }
    });
    std::unique_lock guard(waiting->mutex);
    waiting->changed.wait(guard, [&waiting] { return waiting->answer.has_value(); });
    return *waiting->answer;
}

void node_ledger::handle(const core::endpoint &peer,
                         const ledger::ledger_message &received,
                         core::monotonic_time now)
{
    const auto *reply = std::get_if<ledger::key_reply>(&received);
    if (reply == nullptr) {
        return;
    }
    const auto found = m_claimNumbers.find(reply->attempt);
    if (found == m_claimNumbers.end()) {
        return;
    }
    const std::uint64_t number = found->second;
    perform(number, m_claims.at(number).machine->receive(core::host_name{peer.value}, *reply, now));
}

void node_ledger::tick(core::monotonic_time now)
{
    std::vector<std::uint64_t> due;
    for (const auto &[number, each] : m_claims) {
        const auto deadline = each.machine->nextDeadline();
        if (deadline && *deadline <= now) {
            due.push_back(number);
        }
    }
    for (const std::uint64_t number : due) {
        perform(number, m_claims.at(number).machine->tick(now));
    }
}

void node_ledger::perform(std::uint64_t number, const ledger::claim_effects &wanted)
{
    const std::shared_ptr<waiter> waiting = m_claims.at(number).waiting;
    for (const ledger::claim_effect &each : wanted) {
        if (const auto *sent = std::get_if<ledger::send_message>(&each)) {
            m_send(
                core::endpoint{sent->to.value}, wire::channel::Ledger, wire::encode(sent->message));
            continue;
        }
        const std::lock_guard guard(waiting->mutex);
        if (const auto *permit = std::get_if<ledger::run_request>(&each)) {
            waiting->permit = *permit;
        } else {
            waiting->answer = std::get<ledger::answer_caller>(each);
        }
        waiting->changed.notify_all();
    }
    removeIfFinished(number);
}

void node_ledger::removeIfFinished(std::uint64_t number)
{
    const auto found = m_claims.find(number);
    if (found->second.machine->isFinished()) {
        m_claimNumbers.erase(found->second.machine->attempt());
        m_claims.erase(found);
    }
}

} // namespace jackdawweir::daemon
