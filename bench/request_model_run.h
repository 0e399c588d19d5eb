// The events of request_model: callers, nodes, backend servers and the ledger.

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

inline void request_model::arrive(const call_ptr &made)
{
    made->startedAt = m_now;
    made->deadline = m_now + std::chrono::milliseconds(specOf(*made).deadlineMs);
    made->node = static_cast<int>(m_engine() % m_nodes.size());
    if (made->resends == 0) {
        ++(made->isFlood ? m_result.flood : m_result.routes[static_cast<std::size_t>(made->route)])
              .sent;
    }
    after(callerDelay, [this, made] {
        made->startedAt = m_now;
        m_settings.isBaseline ? tryBaseline(made) : startOwn(made);
    });
    // A caller that has waited for the whole deadline gives up.
    after(made->deadline - m_now + 2 * callerDelay,
          [this, made] { answer(made, request_outcome::Unknown, false); });
}

inline void request_model::answer(const call_ptr &made, request_outcome outcome, bool isCorrect)
{
    if (std::exchange(made->isOver, true)) {
        return;
    }
    key_state &key = m_keys[made->keyNumber];
    if (outcome == request_outcome::NotRun) {
        m_result.falseNotRun += key.isNonIdempotent && key.runs > 0 ? 1 : 0;
        key.toldNotRun = m_now;
    }
    const monotonic_time first
        = made->deadline - std::chrono::milliseconds(specOf(*made).deadlineMs);
    const bool isInTime = m_now + callerDelay <= made->deadline;
    // A caller in a retry storm sends every failed request again, twice.
    if (!(isCorrect && isInTime) && m_settings.scenario == "storm" && made->resends < 2) {
        resend(made);
        return;
    }
    route_result &result
        = made->isFlood ? m_result.flood : m_result.routes[static_cast<std::size_t>(made->route)];
    if (isCorrect && isInTime) {
        ++result.correct;
        result.milliseconds.push_back(
            std::chrono::duration<float, std::milli>(m_now + callerDelay - first).count());
    }
    result.notRun += outcome == request_outcome::NotRun ? 1 : 0;
    result.unknown += outcome == request_outcome::Unknown ? 1 : 0;
}

inline void request_model::resend(const call_ptr &made)
{
    auto next = std::make_shared<call>();
    next->route = made->route;
    next->isFlood = made->isFlood;
    next->keyNumber = made->keyNumber;
    next->key = made->key;
    next->hasCallersKey = made->hasCallersKey;
    next->resends = made->resends + 1;
    if (specOf(*made).kind == document::request_kind::NonIdempotent && !made->hasCallersKey) {
        // Without a key of its own the caller's resend is a new request to the system.
        next->key = ledger::newKey(ledgerNow().wall, m_engine);
        next->keyNumber = m_keys.size();
        m_keys.push_back(key_state{0, true, std::nullopt});
    }
    after(callerDelay, [this, next] { arrive(next); });
}

inline void request_model::startOwn(const call_ptr &made)
{
    const route_spec &spec = specOf(*made);
    node &at = m_nodes[static_cast<std::size_t>(made->node)];
    at.budget->recordRequest();
    const std::string caller
        = made->isFlood ? "flood" : absl::StrCat("caller-", made->keyNumber % 50);
    request::admission &gate = *at.gates[static_cast<std::size_t>(spec.service)];
    const bool isAdmitted = gate.decide(spec.urgency, caller, m_now, m_engine)
        == request::admission_verdict::Admitted;
    if (spec.kind == document::request_kind::Idempotent) {
        isAdmitted ? tryOwn(made, {}, false) : answer(made, request_outcome::NotRun, false);
        return;
    }
    made->claim = std::make_unique<ledger::key_claim>(
        ledger::claim_input{made->key,
                            made->hasCallersKey,
                            isAdmitted ? ledger::claim_mode::Run : ledger::claim_mode::Refuse,
                            m_replicaNames},
        m_engine);
    m_claims[made->claim->attempt()] = made;
    perform(made, made->claim->start(m_now));
}

inline void request_model::tryOwn(const call_ptr &made, const core::endpoint &avoided, bool isHedge)
{
    node &at = m_nodes[static_cast<std::size_t>(made->node)];
    const route_spec &spec = specOf(*made);
    const auto service = static_cast<std::size_t>(spec.service);
    ++made->attempts;
    auto claim = at.selector->select(
        m_configuration.services[service].name, m_now, m_engine, avoided, spec.urgency);
    if (!core::isOk(claim)) {
        at.gates[service]->report(true, spec.urgency, m_now);
        if (made->running == 0) {
            finishOwn(made, request_outcome::NotRun);
        }
        return;
    }
    auto started = std::make_shared<attempt>();
    started->owner = made;
    started->startedAt = m_now;
    started->isHedge = isHedge;
    const core::endpoint address = core::valueIn(claim).server().address;
    started->slot = core::valueIn(std::move(claim));
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        if (m_servers[index].record.address == address) {
            started->server = static_cast<int>(index);
        }
    }
    nanoseconds left = made->deadline - callerDelay - m_now;
    // An idempotent request keeps half of its time for another server.
    if (spec.kind == document::request_kind::Idempotent && made->attempts == 1) {
        left /= 2;
    }
    send(started, left);
    document::route_contract contract;
    contract.kind = spec.kind;
    const auto hedge = request::hedgeDelay(request::hedge_settings{m_settings.hedges},
                                           contract,
                                           0,
                                           at.selector->healthOf(address)->latency(m_now));
    if (hedge && !isHedge) {
        after(*hedge, [this, started, address, &at] {
            if (!started->isOver && !started->owner->isOver && at.budget->tryTake()) {
                tryOwn(started->owner, address, true);
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
    m_settings.isBaseline ? endBaseline(ended, facts) : endOwn(ended, facts);
}

inline void request_model::endOwn(const attempt_ptr &ended, const attempt_facts &facts)
{
    const call_ptr &made = ended->owner;
    node &at = m_nodes[static_cast<std::size_t>(made->node)];
    const route_spec &spec = specOf(*made);
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
    at.gates[static_cast<std::size_t>(spec.service)]->report(
        outcome.origin == request::failure_origin::Overload, spec.urgency, m_now);
    if (outcome.fault == request::attempt_fault::None) {
        finishOwn(made, outcome.outcome);
        return;
    }
    request::finished_attempt finished;
    finished.kind = spec.kind;
    finished.attemptResult = outcome;
    finished.attempts = made->attempts;
    finished.remaining = made->deadline - callerDelay - m_now;
    if (!made->isOver && made->running == 0 && request::mayRetry(finished, *at.budget)) {
        tryOwn(made, address, false);
    } else if (made->running == 0) {
        finishOwn(made, outcome.outcome);
    }
}

inline void request_model::finishOwn(const call_ptr &made, request_outcome outcome)
{
    if (!made->claim) {
        answer(made, outcome, outcome == request_outcome::Done);
        return;
    }
    ledger::run_result result;
    result.outcome = outcome == request_outcome::Done ? ledger::caller_outcome::Done
        : outcome == request_outcome::NotRun          ? ledger::caller_outcome::NotRun
                                                      : ledger::caller_outcome::Unknown;
    perform(made, made->claim->runFinished(result, m_now));
}

// Round robin over all servers; every failure is sent again at once, up to three attempts.
inline void request_model::tryBaseline(const call_ptr &made)
{
    node &at = m_nodes[static_cast<std::size_t>(made->node)];
    const auto service = static_cast<std::size_t>(specOf(*made).service);
    const std::vector<int> &servers = at.robin[service];
    if (servers.empty()) {
        answer(made, request_outcome::NotRun, false);
        return;
    }
    ++made->attempts;
    auto started = std::make_shared<attempt>();
    started->owner = made;
    started->startedAt = m_now;
    started->server = servers[at.nextRobin[service]++ % servers.size()];
    send(started, std::chrono::milliseconds(specOf(*made).deadlineMs) / 3);
}

inline void request_model::endBaseline(const attempt_ptr &ended, const attempt_facts &facts)
{
    const call_ptr &made = ended->owner;
    const request::attempt_outcome outcome = request::classify(facts);
    if (outcome.fault == request::attempt_fault::None) {
        answer(made, request_outcome::Done, true);
    } else if (made->attempts < request::maxAttempts && m_now < made->deadline) {
        tryBaseline(made);
    } else {
        // The last attempt decides what a plain proxy reports.
        answer(made, outcome.outcome, false);
    }
}

inline void request_model::receive(const attempt_ptr &received)
{
    server &at = m_servers[static_cast<std::size_t>(received->server)];
    // A server without cancellation would run what its node has given up on; the baseline cancels
    // nothing.
    if (received->isOver && !m_settings.isBaseline) {
        return;
    }
    if (at.busy + at.queue.size() >= connectionsOfServer) {
        attempt_facts refused;
        const int back = at.dataCentre;
        after(
            delayBetween(back, m_nodes[static_cast<std::size_t>(received->owner->node)].dataCentre),
            [this, received, refused] { end(received, refused); });
    } else if (at.busy < at.record.slots) {
        begin(received);
    } else if (at.queue.size() < queueFactor * at.record.slots) {
        at.queue.push_back(received);
    } else {
        respond(received, 503, false);
    }
}

inline void request_model::begin(const attempt_ptr &begun)
{
    server &at = m_servers[static_cast<std::size_t>(begun->server)];
    ++at.busy;
    key_state &key = m_keys[begun->owner->keyNumber];
    ++key.runs;
    if (key.isNonIdempotent) {
        m_result.doubleRuns += key.runs > 1 ? 1 : 0;
        const bool isFalse = key.toldNotRun && begun->owner->startedAt <= *key.toldNotRun;
        m_result.falseNotRun += isFalse ? 1 : 0;
    }
    const nanoseconds mean(static_cast<std::int64_t>(
        at.slowness * static_cast<double>(nanoseconds(meanServiceTime).count())));
    // Half of the service time is fixed.
    after(mean / 2 + drawExponential(mean / 2), [this, begun, &at] {
        --at.busy;
        respond(begun, 200, true);
        beginNext(at);
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

inline void request_model::perform(const call_ptr &made, const ledger::claim_effects &effects)
{
    const int from = m_nodes[static_cast<std::size_t>(made->node)].dataCentre;
    for (const ledger::claim_effect &effect : effects) {
        if (const auto *sent = std::get_if<ledger::send_message>(&effect)) {
            for (int index = 0; index < 3; ++index) {
                if (m_replicaNames[static_cast<std::size_t>(index)] == sent->to
                    && !isCut(from, index)) {
                    after(delayBetween(from, index), [this, index, message = sent->message, made] {
                        const core::host_name asking{"node"};
                        performReplica(index,
                                       m_replicas[static_cast<std::size_t>(index)]->receive(
                                           asking, message, ledgerNow()));
                    });
                }
            }
        } else if (std::holds_alternative<ledger::run_request>(effect)) {
            tryOwn(made, {}, false);
        } else if (const auto *answered = std::get_if<ledger::answer_caller>(&effect)) {
            const request_outcome outcome = answered->outcome == ledger::caller_outcome::Done
                ? request_outcome::Done
                : answered->outcome == ledger::caller_outcome::NotRun ? request_outcome::NotRun
                                                                      : request_outcome::Unknown;
            answer(made, outcome, outcome == request_outcome::Done);
        }
    }
    scheduleTick(made);
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
            const call_ptr made = found == m_claims.end() ? nullptr : found->second.lock();
            if (!made) {
                continue;
            }
            const int to = m_nodes[static_cast<std::size_t>(made->node)].dataCentre;
            if (isCut(replica, to)) {
                continue;
            }
            after(delayBetween(replica, to), [this, replica, made, copy = *reply] {
                perform(made,
                        made->claim->receive(
                            m_replicaNames[static_cast<std::size_t>(replica)], copy, m_now));
            });
        }
    }
}

inline void request_model::scheduleTick(const call_ptr &made)
{
    const auto deadline = made->claim->nextDeadline();
    if (!deadline) {
        return;
    }
    after(std::max(*deadline - m_now, nanoseconds(0)), [this, made, deadline] {
        if (made->claim->nextDeadline() == deadline) {
            perform(made, made->claim->tick(m_now));
        }
    });
}

} // namespace jackdawweir::bench
