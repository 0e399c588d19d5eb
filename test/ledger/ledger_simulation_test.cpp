#include "ledger/ledger_simulation.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::ledger {

namespace {

constexpr std::chrono::milliseconds tickPeriod{100};
constexpr std::chrono::milliseconds faultFreeTime{8000};
constexpr std::chrono::seconds wallStart{1'800'000'000};

template<typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template<typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

ledger_simulation::ledger_simulation(const simulation_settings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_engine(seed)
    , m_now(std::chrono::hours(1))
    , m_faultsEnd(m_now + settings.faultDuration)
    , m_replicas(settings.replicas)
{
    for (std::size_t index = 0; index < m_replicas.size(); ++index) {
        // The clocks of any two replicas differ by at most clockSkew.
        m_replicas[index].skew = drawDuration(clockSkew) - clockSkew / 2;
        startReplica(index, journal_start::Created);
    }
    schedule(m_now, [this] { tickReplicas(); });
    planFaults();
    planRequests();
}

void ledger_simulation::run()
{
    runUntil(m_faultsEnd);
    m_partitioned.clear();
    runUntil(m_faultsEnd + faultFreeTime);
    const core::request_key fresh
        = newKey(core::wall_time(wallStart) + (m_now.time_since_epoch()), m_engine);
    const std::size_t last = startRequest(fresh, 0);
    m_requests[last].mustSucceed = true;
    runUntil(m_now + claimTime + faultFreeTime);
    if (m_history[fresh].executions != 1) {
        addViolation(fresh, "was not run after the faults ended");
    }
    const std::size_t resend = startRequest(fresh, 1);
    runUntil(m_now + claimTime + faultFreeTime);
    if (m_requests[resend].answer != caller_outcome::Done) {
        addViolation(fresh, "did not give its outcome to a resend");
    }
    for (const request &each : m_requests) {
        if (each.claim && !each.answer) {
            addViolation(each.key, "left a caller without an answer");
        }
    }
}

void ledger_simulation::planFaults()
{
    for (int index = 0; index < m_settings.replicaCrashes + m_settings.lostJournals; ++index) {
        const bool loseJournal = index >= m_settings.replicaCrashes;
        const std::size_t replica = draw(m_replicas.size());
        schedule(drawFaultTime(),
                 [this, replica, loseJournal] { crashReplica(replica, loseJournal); });
    }
    for (int index = 0; index < m_settings.nodeCrashes; ++index) {
        schedule(drawFaultTime(), [this] { crashNode(draw(m_settings.nodes)); });
    }
    for (int index = 0; index < m_settings.partitions; ++index) {
        schedule(drawFaultTime(), [this] { partitionHost(); });
    }
}

void ledger_simulation::planRequests()
{
    for (std::size_t index = 0; index < m_settings.keys; ++index) {
        const core::request_key key
            = newKey(core::wall_time(wallStart) + m_now.time_since_epoch(), m_engine);
        core::monotonic_time when = drawFaultTime();
        for (std::size_t count = 0; count < m_settings.requestsPerKey; ++count) {
            schedule(when, [this, key] { startRequest(key, draw(m_settings.nodes)); });
            // Resends arrive between immediately and after the hold of a refusal.
            when += chance(0.5) ? drawDuration(std::chrono::milliseconds(200))
                                : drawDuration(std::chrono::seconds(5));
        }
    }
}

void ledger_simulation::startReplica(std::size_t index, journal_start start)
{
    replica_host &host = m_replicas[index];
    replica_settings settings;
    settings.self = replicaName(index);
    for (std::size_t each = 0; each < m_replicas.size(); ++each) {
        settings.replicas.push_back(replicaName(each));
    }
    settings.recoveryPageBytes = 200;
    settings.compactionSlack = 8;
    ++host.incarnation;
    host.isUp = true;
    host.stateMachine
        = std::make_unique<ledger_replica>(settings, start, host.journal, timeAt(host));
    perform(index, host.stateMachine->start(timeAt(host)));
}

void ledger_simulation::crashReplica(std::size_t index, bool loseJournal)
{
    replica_host &host = m_replicas[index];
    if (!host.isUp) {
        return;
    }
    // If more journals were lost than the quorum tolerates, the replicas would only wait for one
    // key lifetime.
    const bool areOthersReady
        = std::all_of(m_replicas.begin(), m_replicas.end(), [](const replica_host &each) {
              return each.isUp && each.stateMachine->isReady();
          });
    if (loseJournal && !areOthersReady) {
        return;
    }
    host.isUp = false;
    ++host.incarnation;
    if (loseJournal) {
        host.journal.clear();
    }
    schedule(m_now + drawDuration(std::chrono::milliseconds(300)), [this, index, loseJournal] {
        startReplica(index, loseJournal ? journal_start::Lost : journal_start::Continued);
    });
}

void ledger_simulation::crashNode(std::size_t index)
{
    for (request &each : m_requests) {
        if (each.node == index) {
            each.claim.reset();
        }
    }
}

void ledger_simulation::partitionHost()
{
    const core::host_name host
        = chance(0.5) ? replicaName(draw(m_replicas.size())) : nodeName(draw(m_settings.nodes));
    m_partitioned.insert(host);
    schedule(m_now + drawDuration(std::chrono::seconds(2)),
             [this, host] { m_partitioned.erase(host); });
}

void ledger_simulation::perform(std::size_t replica, const replica_effects &effects)
{
    for (const replica_effect &effect : effects) {
        std::visit(overloaded{[this, replica](const send_message &each) {
                                  send(replicaName(replica), each.to, each.message);
                              },
                              [this, replica](const append_journal &each) {
                                  performJournal(replica, each.sequence, each.records, false);
                              },
                              [this, replica](const replace_journal &each) {
                                  performJournal(replica, each.sequence, each.records, true);
                              },
                              [](const report_readiness &) {
                              }},
                   effect);
    }
}

// Appends become durable in order after a delay; a crash before that loses them.
void ledger_simulation::performJournal(std::size_t replica,
                                       std::uint64_t sequence,
                                       std::vector<std::string> records,
                                       bool replaces)
{
    const std::uint64_t incarnation = m_replicas[replica].incarnation;
    constexpr std::chrono::milliseconds syncDelay{8};
    schedule(m_now + syncDelay,
             [this, replica, sequence, records = std::move(records), replaces, incarnation] {
                 replica_host &host = m_replicas[replica];
                 if (host.incarnation != incarnation) {
                     return;
                 }
                 if (replaces) {
                     host.journal.clear();
                 }
                 host.journal.insert(host.journal.end(), records.begin(), records.end());
                 perform(replica, host.stateMachine->synced(sequence, timeAt(host)));
             });
}

void ledger_simulation::tickReplicas()
{
    for (std::size_t index = 0; index < m_replicas.size(); ++index) {
        replica_host &host = m_replicas[index];
        if (host.isUp) {
            perform(index, host.stateMachine->tick(timeAt(host)));
        }
    }
    schedule(m_now + tickPeriod, [this] { tickReplicas(); });
}

std::size_t ledger_simulation::startRequest(const core::request_key &key, std::size_t node)
{
    claim_input input;
    input.key = key;
    input.isCallersKey = true;
    const bool isFaultFree = m_now > m_faultsEnd;
    input.mode = !isFaultFree && chance(0.3) ? claim_mode::Refuse : claim_mode::Run;
    for (std::size_t each = 0; each < m_replicas.size(); ++each) {
        input.replicas.push_back(replicaName(each));
    }
    const std::size_t index = m_requests.size();
    m_requests.push_back(
        request{key, node, m_now, std::make_unique<key_claim>(input, m_engine), {}, false});
    perform(index, m_requests[index].claim->start(m_now));
    return index;
}

void ledger_simulation::perform(std::size_t index, const claim_effects &effects)
{
    for (const claim_effect &effect : effects) {
        std::visit(overloaded{[this, index](const send_message &each) {
                                  send(nodeName(m_requests[index].node), each.to, each.message);
                              },
                              [this, index](const run_request &) { runRequest(index); },
                              [this, index](const answer_caller &each) {
                                  recordAnswer(index, each);
                              }},
                   effect);
    }
    scheduleTick(index);
}

// A run continues if its node crashes: the backend server may still execute the request.
void ledger_simulation::runRequest(std::size_t index)
{
    const double kind = std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
    const bool mustSucceed = m_requests[index].mustSucceed;
    run_result result;
    result.outcome = mustSucceed || kind < 0.5 ? caller_outcome::Done
        : kind < 0.8                           ? caller_outcome::NotRun
                                               : caller_outcome::Unknown;
    if (result.outcome == caller_outcome::Done) {
        result.response.status = 200;
        result.response.body = absl::StrCat("response to request ", index);
    }
    const bool executes = result.outcome == caller_outcome::Done
        || (result.outcome == caller_outcome::Unknown && chance(0.5));
    if (executes) {
        execute(index);
    }
    schedule(m_now + drawDuration(std::chrono::milliseconds(300)), [this, index, result] {
        request &each = m_requests[index];
        if (each.claim) {
            perform(index, each.claim->runFinished(result, m_now));
        }
    });
}

void ledger_simulation::execute(std::size_t index)
{
    request &each = m_requests[index];
    key_history &history = m_history[each.key];
    ++m_executions;
    if (++history.executions > 1) {
        addViolation(each.key, "ran twice");
    }
    history.body = absl::StrCat("response to request ", index);
    if (history.lastNotRunAt && each.startedAt <= *history.lastNotRunAt) {
        addViolation(each.key, "ran in an attempt from before a caller was told not-run");
    }
}

void ledger_simulation::recordAnswer(std::size_t index, const answer_caller &answer)
{
    request &each = m_requests[index];
    key_history &history = m_history[each.key];
    ++m_answers[answer.outcome];
    if (std::exchange(each.answer, answer.outcome)) {
        addViolation(each.key, "answered a caller twice");
    }
    if (answer.outcome == caller_outcome::NotRun) {
        if (history.executions > 0) {
            addViolation(each.key, "was reported as not-run although it ran");
        }
        history.lastNotRunAt = m_now;
    }
    if (answer.outcome == caller_outcome::Done && history.body != answer.response.body) {
        addViolation(each.key, "answered with another response than the first");
    }
}

void ledger_simulation::scheduleTick(std::size_t index)
{
    const request &each = m_requests[index];
    const std::optional<core::monotonic_time> deadline = each.claim->nextDeadline();
    if (!deadline) {
        return;
    }
    schedule(std::max(*deadline, m_now), [this, index, deadline] {
        request &ticked = m_requests[index];
        // If the deadline has changed, another tick is scheduled for the new one.
        if (ticked.claim && ticked.claim->nextDeadline() == deadline) {
            perform(index, ticked.claim->tick(m_now));
        }
    });
}

void ledger_simulation::send(const core::host_name &from,
                             const core::host_name &to,
                             const ledger_message &message)
{
    const bool isFaulty = m_now < m_faultsEnd;
    const int copies = isFaulty && chance(m_settings.duplicationProbability) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (isFaulty && (chance(m_settings.lossProbability) || isPartitioned(from, to))) {
            continue;
        }
        // Some messages are delayed for longer than a refusal hold.
        const duration maxDuration = isFaulty && chance(0.02) ? duration(std::chrono::seconds(6))
            : isFaulty                                        ? duration(m_settings.maxDelay)
                       : duration(std::chrono::milliseconds(3));
        schedule(m_now + drawDuration(maxDuration),
                 [this, from, to, message] { deliver(from, to, message); });
    }
}

void ledger_simulation::deliver(const core::host_name &from,
                                const core::host_name &to,
                                const ledger_message &message)
{
    const core::result<ledger_message> decoded
        = wire::decode<ledger_message>(wire::encode(message), core::endpoint{from.value});
    const ledger_message &received = core::valueIn(decoded);
    for (std::size_t index = 0; index < m_replicas.size(); ++index) {
        replica_host &host = m_replicas[index];
        if (replicaName(index) == to && host.isUp) {
            perform(index, host.stateMachine->receive(from, received, timeAt(host)));
        }
    }
    const auto *reply = std::get_if<key_reply>(&received);
    if (reply == nullptr) {
        return;
    }
    // The node passes the reply to the claim of the attempt that it names.
    for (std::size_t index = 0; index < m_requests.size(); ++index) {
        request &each = m_requests[index];
        if (each.claim && nodeName(each.node) == to && each.claim->attempt() == reply->attempt) {
            perform(index, each.claim->receive(from, *reply, m_now));
        }
    }
}

void ledger_simulation::runUntil(core::monotonic_time end)
{
    while (!m_events.empty() && m_events.top().dueAt <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.dueAt;
        next.action();
    }
    m_now = end;
}

void ledger_simulation::schedule(core::monotonic_time time, std::function<void()> action)
{
    m_events.push(event{time, ++m_order, std::move(action)});
}

std::uint64_t ledger_simulation::draw(std::uint64_t below)
{
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(m_engine);
}

bool ledger_simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine) < probability;
}

ledger_simulation::duration ledger_simulation::drawDuration(duration maxDuration)
{
    return duration(
        static_cast<duration::rep>(draw(static_cast<std::uint64_t>(maxDuration.count()) + 1)));
}

core::monotonic_time ledger_simulation::drawFaultTime()
{
    return m_now + drawDuration(m_settings.faultDuration);
}

core::host_name ledger_simulation::replicaName(std::size_t index) const
{
    return core::host_name{absl::StrCat("replica-", index)};
}

core::host_name ledger_simulation::nodeName(std::size_t index) const
{
    return core::host_name{absl::StrCat("node-", index)};
}

ledger_time ledger_simulation::timeAt(const replica_host &host) const
{
    return ledger_time{m_now, core::wall_time(wallStart) + m_now.time_since_epoch() + host.skew};
}

bool ledger_simulation::isPartitioned(const core::host_name &left,
                                      const core::host_name &right) const
{
    return m_partitioned.contains(left) != m_partitioned.contains(right);
}

void ledger_simulation::addViolation(const core::request_key &key, const std::string &what)
{
    m_violations.push_back(absl::StrCat("key ", key.value, " ", what));
}

} // namespace jackdawweir::ledger
