// The event handlers of request_model: callers, nodes, backend servers and the ledger.

#pragma once

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "bench/request_model_setup.h"

namespace jackdawweir::bench {

using request::attempt_facts;
using request::request_outcome;

// A caller is 1 ms from the nodes of its data centre.
constexpr std::chrono::milliseconds callerDelay{1};
constexpr std::chrono::milliseconds syncTime{1};

inline model_result request_model::run()
{
    const monotonic_time drained = m_end + std::chrono::seconds(5);
    monotonic_time nextTick = m_now;
    while (!m_events.empty() && m_events.top().at < drained) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        if (m_now >= nextTick) {
            nextTick = m_now + std::chrono::milliseconds(100);
            for (int index = 0; index < 3; ++index) {
                performReplica(index,
                               m_replicas[static_cast<std::size_t>(index)]->tick(ledgerNow()));
            }
        }
        next.action();
    }
    return std::move(m_result);
}

inline void request_model::arrive(const call_ptr &activeCall)
{
    activeCall->startedAt = m_now;
    activeCall->deadline = m_now + std::chrono::milliseconds(specOf(*activeCall).deadlineMs);
    activeCall->node = static_cast<int>(m_engine() % m_nodes.size());
    if (activeCall->resends == 0) {
        ++(activeCall->isFlood ? m_result.flood
                               : m_result.routes[static_cast<std::size_t>(activeCall->route)])
              .sent;
    }
    after(callerDelay, [this, activeCall] {
        activeCall->startedAt = m_now;
        m_settings.isBaseline ? attemptWithBaseline(activeCall) : startWithPolicy(activeCall);
    });
    // The caller gives up when the deadline has passed.
    after(activeCall->deadline - m_now + 2 * callerDelay,
          [this, activeCall] { answer(activeCall, request_outcome::Unknown, false); });
}

inline void
request_model::answer(const call_ptr &activeCall, request_outcome outcome, bool isCorrect)
{
    if (std::exchange(activeCall->isOver, true)) {
        return;
    }
    key_state &key = m_keys[activeCall->keyNumber];
    if (outcome == request_outcome::NotRun) {
        m_result.falseNotRun += key.isNonIdempotent && key.runs > 0 ? 1 : 0;
        key.reportedNotRunAt = m_now;
    }
    const monotonic_time first
        = activeCall->deadline - std::chrono::milliseconds(specOf(*activeCall).deadlineMs);
    const bool isInTime = m_now + callerDelay <= activeCall->deadline;
    // In the scenario "storm", a caller resends each failed request up to twice.
    if (!(isCorrect && isInTime) && m_settings.scenario == "storm" && activeCall->resends < 2) {
        resend(activeCall);
        return;
    }
    route_result &result = activeCall->isFlood
        ? m_result.flood
        : m_result.routes[static_cast<std::size_t>(activeCall->route)];
    if (isCorrect && isInTime) {
        ++result.correct;
        result.milliseconds.push_back(
            std::chrono::duration<float, std::milli>(m_now + callerDelay - first).count());
    }
    result.notRun += outcome == request_outcome::NotRun ? 1 : 0;
    result.unknown += outcome == request_outcome::Unknown ? 1 : 0;
}

inline void request_model::resend(const call_ptr &activeCall)
{
    auto next = std::make_shared<call>();
    next->route = activeCall->route;
    next->isFlood = activeCall->isFlood;
    next->keyNumber = activeCall->keyNumber;
    next->key = activeCall->key;
    next->hasCallersKey = activeCall->hasCallersKey;
    next->resends = activeCall->resends + 1;
    if (specOf(*activeCall).kind == document::request_kind::NonIdempotent
        && !activeCall->hasCallersKey) {
        // Without a key from the caller, the system treats a resend as a new request.
        next->key = ledger::newKey(ledgerNow().wall, m_engine);
        next->keyNumber = m_keys.size();
        m_keys.push_back(key_state{0, true, std::nullopt});
    }
    after(callerDelay, [this, next] { arrive(next); });
}

inline void request_model::startWithPolicy(const call_ptr &activeCall)
{
    const route_spec &spec = specOf(*activeCall);
    node &handlingNode = m_nodes[static_cast<std::size_t>(activeCall->node)];
    handlingNode.budget->recordRequest();
    const std::string caller
        = activeCall->isFlood ? "flood" : absl::StrCat("caller-", activeCall->keyNumber % 50);
    request::admission &admissionControl
        = *handlingNode.admissions[static_cast<std::size_t>(spec.service)];
    const bool isAdmitted = admissionControl.decide(spec.urgency, caller, m_now, m_engine)
        == request::admission_verdict::Admitted;
    if (spec.kind == document::request_kind::Idempotent) {
        isAdmitted ? attemptWithPolicy(activeCall, {}, false)
                   : answer(activeCall, request_outcome::NotRun, false);
        return;
    }
    activeCall->claim = std::make_unique<ledger::key_claim>(
        ledger::claim_input{activeCall->key,
                            activeCall->hasCallersKey,
                            isAdmitted ? ledger::claim_mode::Run : ledger::claim_mode::Refuse,
                            m_replicaNames},
        m_engine);
    m_claims[activeCall->claim->attempt()] = activeCall;
    perform(activeCall, activeCall->claim->start(m_now));
}

inline void request_model::attemptWithPolicy(const call_ptr &activeCall,
                                             const core::endpoint &avoided,
                                             bool isHedge)
{
    node &handlingNode = m_nodes[static_cast<std::size_t>(activeCall->node)];
    const route_spec &spec = specOf(*activeCall);
    const auto service = static_cast<std::size_t>(spec.service);
    ++activeCall->attempts;
    auto claim = handlingNode.selector->select(
        m_configuration.services[service].name, m_now, m_engine, avoided, spec.urgency);
    if (!core::isOk(claim)) {
        handlingNode.admissions[service]->report(true, spec.urgency, m_now);
        if (activeCall->running == 0) {
            finishWithPolicy(activeCall, request_outcome::NotRun);
        }
        return;
    }
    auto started = std::make_shared<attempt>();
    started->owner = activeCall;
    started->startedAt = m_now;
    started->isHedge = isHedge;
    const core::endpoint address = core::valueIn(claim).server().address;
    started->slot = core::valueIn(std::move(claim));
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        if (m_servers[index].record.address == address) {
            started->server = static_cast<int>(index);
        }
    }
    nanoseconds left = activeCall->deadline - callerDelay - m_now;
    // The first attempt of an idempotent request may use half of the remaining time, which leaves
    // the other half for a retry on another server.
    if (spec.kind == document::request_kind::Idempotent && activeCall->attempts == 1) {
        left /= 2;
    }
    send(started, left);
    document::route_contract contract;
    contract.kind = spec.kind;
    const auto hedge
        = request::hedgeDelay(request::hedge_settings{m_settings.hedges},
                              contract,
                              0,
                              handlingNode.selector->healthOf(address)->latency(m_now));
    if (hedge && !isHedge) {
        after(*hedge, [this, started, address, &handlingNode] {
            if (!started->isOver && !started->owner->isOver && handlingNode.budget->tryTake()) {
                attemptWithPolicy(started->owner, address, true);
            }
        });
    }
}

inline void request_model::send(const attempt_ptr &sent, nanoseconds timeLeft)
{
    ++m_result.attempts;
    ++sent->owner->running;
    const int from = m_nodes[static_cast<std::size_t>(sent->owner->node)].dataCentre;
    const int to = m_servers[static_cast<std::size_t>(sent->server)].dataCentre;
    if (!isCut(from, to)) {
        after(delayBetween(from, to), [this, sent] { receive(sent); });
    }
    after(timeLeft, [this, sent] {
        attempt_facts facts;
        facts.bytesWritten = 1;
        facts.timedOut = true;
        end(sent, facts);
    });
}

inline void request_model::end(const attempt_ptr &ended, const attempt_facts &facts)
{
    if (std::exchange(ended->isOver, true)) {
        return;
    }
    --ended->owner->running;
    m_settings.isBaseline ? endWithBaseline(ended, facts) : endWithPolicy(ended, facts);
}

inline void request_model::endWithPolicy(const attempt_ptr &ended, const attempt_facts &facts)
{
    const call_ptr &activeCall = ended->owner;
    node &handlingNode = m_nodes[static_cast<std::size_t>(activeCall->node)];
    const route_spec &spec = specOf(*activeCall);
    attempt_facts known = facts;
    known.serverIsCold = ended->slot->isCold();
    known.serverIsBusy = ended->slot->isBusy();
    const request::attempt_outcome outcome = request::classify(known);
    const core::endpoint address = ended->slot->server().address;
    const server &target = m_servers[static_cast<std::size_t>(ended->server)];
    if (facts.status) {
        ended->slot->reportLoad(target.busy + static_cast<unsigned>(target.queue.size()), m_now);
    }
    ended->slot->finish(outcome, m_now - ended->startedAt, m_now);
    handlingNode.admissions[static_cast<std::size_t>(spec.service)]->report(
        outcome.origin == request::failure_origin::Overload, spec.urgency, m_now);
    if (outcome.fault == request::attempt_fault::None) {
        finishWithPolicy(activeCall, outcome.outcome);
        return;
    }
    request::finished_attempt finished;
    finished.kind = spec.kind;
    finished.attemptResult = outcome;
    finished.attempts = activeCall->attempts;
    finished.remaining = activeCall->deadline - callerDelay - m_now;
    if (!activeCall->isOver && activeCall->running == 0
        && request::mayRetry(finished, *handlingNode.budget)) {
        attemptWithPolicy(activeCall, address, false);
    } else if (activeCall->running == 0) {
        finishWithPolicy(activeCall, outcome.outcome);
    }
}

inline void request_model::finishWithPolicy(const call_ptr &activeCall, request_outcome outcome)
{
    if (!activeCall->claim) {
        answer(activeCall, outcome, outcome == request_outcome::Done);
        return;
    }
    ledger::run_result result;
    result.outcome = outcome == request_outcome::Done ? ledger::caller_outcome::Done
        : outcome == request_outcome::NotRun          ? ledger::caller_outcome::NotRun
                                                      : ledger::caller_outcome::Unknown;
    perform(activeCall, activeCall->claim->runFinished(result, m_now));
}

// Selects servers by round robin and retries each failure immediately, up to three attempts.
inline void request_model::attemptWithBaseline(const call_ptr &activeCall)
{
    node &handlingNode = m_nodes[static_cast<std::size_t>(activeCall->node)];
    const auto service = static_cast<std::size_t>(specOf(*activeCall).service);
    const std::vector<int> &servers = handlingNode.roundRobinServers[service];
    if (servers.empty()) {
        answer(activeCall, request_outcome::NotRun, false);
        return;
    }
    ++activeCall->attempts;
    auto started = std::make_shared<attempt>();
    started->owner = activeCall;
    started->startedAt = m_now;
    started->server = servers[handlingNode.nextRoundRobinServer[service]++ % servers.size()];
    send(started, std::chrono::milliseconds(specOf(*activeCall).deadlineMs) / 3);
}

inline void request_model::endWithBaseline(const attempt_ptr &ended, const attempt_facts &facts)
{
    const call_ptr &activeCall = ended->owner;
    const request::attempt_outcome outcome = request::classify(facts);
    if (outcome.fault == request::attempt_fault::None) {
        answer(activeCall, request_outcome::Done, true);
    } else if (activeCall->attempts < request::maxAttempts && m_now < activeCall->deadline) {
        attemptWithBaseline(activeCall);
    } else {
        // A plain proxy reports the outcome of its last attempt.
        answer(activeCall, outcome.outcome, false);
    }
}

inline void request_model::receive(const attempt_ptr &received)
{
    server &targetServer = m_servers[static_cast<std::size_t>(received->server)];
    // The request policy cancels an attempt once its node has given up on it. The baseline has no
    // cancellation, so its servers run such attempts.
    if (received->isOver && !m_settings.isBaseline) {
        return;
    }
    if (targetServer.busy + targetServer.queue.size() >= connectionsOfServer) {
        attempt_facts refused;
        const int back = targetServer.dataCentre;
        after(
            delayBetween(back, m_nodes[static_cast<std::size_t>(received->owner->node)].dataCentre),
            [this, received, refused] { end(received, refused); });
    } else if (targetServer.busy < targetServer.record.slots) {
        begin(received);
    } else if (targetServer.queue.size() < queueFactor * targetServer.record.slots) {
        targetServer.queue.push_back(received);
    } else {
        respond(received, 503, false);
    }
}

inline void request_model::begin(const attempt_ptr &begun)
{
    server &targetServer = m_servers[static_cast<std::size_t>(begun->server)];
    ++targetServer.busy;
    key_state &key = m_keys[begun->owner->keyNumber];
    ++key.runs;
    if (key.isNonIdempotent) {
        m_result.doubleRuns += key.runs > 1 ? 1 : 0;
        const bool isFalse
            = key.reportedNotRunAt && begun->owner->startedAt <= *key.reportedNotRunAt;
        m_result.falseNotRun += isFalse ? 1 : 0;
    }
    const nanoseconds mean(static_cast<std::int64_t>(
        targetServer.slowdown * static_cast<double>(nanoseconds(meanServiceTime).count())));
    // Half of the service time is fixed, the other half is drawn from an exponential distribution.
    after(mean / 2 + drawExponential(mean / 2), [this, begun, &targetServer] {
        --targetServer.busy;
        respond(begun, 200, true);
        beginNext(targetServer);
    });
}

inline void request_model::beginNext(server &freed)
{
    while (!freed.queue.empty() && freed.busy < freed.record.slots) {
        const attempt_ptr next = freed.queue.front();
        freed.queue.pop_front();
        if (!next->isOver || m_settings.isBaseline) {
            begin(next);
        }
    }
}

inline void request_model::respond(const attempt_ptr &answered, int status, bool wasRun)
{
    const int from = m_servers[static_cast<std::size_t>(answered->server)].dataCentre;
    const int to = m_nodes[static_cast<std::size_t>(answered->owner->node)].dataCentre;
    if (isCut(from, to)) {
        return;
    }
    attempt_facts facts;
    facts.bytesWritten = 1;
    facts.status = status;
    facts.responseIdMatches = true;
    facts.responseComplete = true;
    if (!wasRun) {
        facts.declaredOutcome = request_outcome::NotRun;
        facts.declaredOrigin = request::failure_origin::Overload;
    }
    after(delayBetween(from, to), [this, answered, facts] { end(answered, facts); });
}

inline void request_model::perform(const call_ptr &activeCall, const ledger::claim_effects &effects)
{
    const int from = m_nodes[static_cast<std::size_t>(activeCall->node)].dataCentre;
    for (const ledger::claim_effect &effect : effects) {
        if (const auto *sent = std::get_if<ledger::send_message>(&effect)) {
            for (int index = 0; index < 3; ++index) {
                if (m_replicaNames[static_cast<std::size_t>(index)] == sent->to
                    && !isCut(from, index)) {
                    after(delayBetween(from, index),
                          [this, index, message = sent->message, activeCall] {
                              const core::host_name asking{"node"};
                              performReplica(index,
                                             m_replicas[static_cast<std::size_t>(index)]->receive(
                                                 asking, message, ledgerNow()));
                          });
                }
            }
        } else if (std::holds_alternative<ledger::run_request>(effect)) {
            attemptWithPolicy(activeCall, {}, false);
        } else if (const auto *answered = std::get_if<ledger::answer_caller>(&effect)) {
            const request_outcome outcome = answered->outcome == ledger::caller_outcome::Done
                ? request_outcome::Done
                : answered->outcome == ledger::caller_outcome::NotRun ? request_outcome::NotRun
                                                                      : request_outcome::Unknown;
            answer(activeCall, outcome, outcome == request_outcome::Done);
        }
    }
    scheduleTick(activeCall);
}

inline void request_model::performReplica(int replica, const ledger::replica_effects &effects)
{
    for (const ledger::replica_effect &effect : effects) {
        if (const auto *append = std::get_if<ledger::append_journal>(&effect)) {
            after(syncTime, [this, replica, sequence = append->sequence] {
                performReplica(
                    replica,
                    m_replicas[static_cast<std::size_t>(replica)]->synced(sequence, ledgerNow()));
            });
        } else if (const auto *replace = std::get_if<ledger::replace_journal>(&effect)) {
            after(syncTime, [this, replica, sequence = replace->sequence] {
                performReplica(
                    replica,
                    m_replicas[static_cast<std::size_t>(replica)]->synced(sequence, ledgerNow()));
            });
        } else if (const auto *sent = std::get_if<ledger::send_message>(&effect)) {
            const auto *reply = std::get_if<ledger::key_reply>(&sent->message);
            const auto found = reply == nullptr ? m_claims.end() : m_claims.find(reply->attempt);
            const call_ptr activeCall = found == m_claims.end() ? nullptr : found->second.lock();
            if (!activeCall) {
                continue;
            }
            const int to = m_nodes[static_cast<std::size_t>(activeCall->node)].dataCentre;
            if (isCut(replica, to)) {
                continue;
            }
            after(delayBetween(replica, to), [this, replica, activeCall, copy = *reply] {
                perform(activeCall,
                        activeCall->claim->receive(
                            m_replicaNames[static_cast<std::size_t>(replica)], copy, m_now));
            });
        }
    }
}

inline void request_model::scheduleTick(const call_ptr &activeCall)
{
    const auto deadline = activeCall->claim->nextDeadline();
    if (!deadline) {
        return;
    }
    after(std::max(*deadline - m_now, nanoseconds(0)), [this, activeCall, deadline] {
        if (activeCall->claim->nextDeadline() == deadline) {
            perform(activeCall, activeCall->claim->tick(m_now));
        }
    });
}

} // namespace jackdawweir::bench
