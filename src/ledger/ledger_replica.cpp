#include "jackdawweir/ledger/ledger_replica.h"

#include <algorithm>
#include <utility>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::ledger {

namespace {

// The generation of a replica that has never lost its journal.
constexpr std::uint64_t firstGeneration = 1;
// More attempts than this are not remembered as withdrawn. Forgetting one can leave a grant to an
// attempt that is over, which costs a resend its outcome but never runs a request twice.
constexpr std::size_t maxWithdrawn = 32;

std::int64_t secondsOf(core::wall_time time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

bool contains(const std::vector<attempt_id> &attempts, const attempt_id &wanted)
{
    return std::find(attempts.begin(), attempts.end(), wanted) != attempts.end();
}

void withdraw(key_record &record, const attempt_id &attempt)
{
    if (contains(record.withdrawn, attempt)) {
        return;
    }
    if (record.withdrawn.size() >= maxWithdrawn) {
        record.withdrawn.erase(record.withdrawn.begin());
    }
    record.withdrawn.push_back(attempt);
}

bool isOwner(const key_record &record, const attempt_id &attempt)
{
    return record.owner == attempt && !record.ownerDisputed;
}

} // namespace

ledger_replica::ledger_replica(const replica_settings &settings,
                               journal_start start,
                               const std::vector<std::string> &records,
                               const ledger_time &now)
    : m_settings(settings)
{
    if (start == journal_start::Created) {
        m_generation = firstGeneration;
        return;
    }
    if (start == journal_start::Continued) {
        replay(records, now);
    }
    if (m_hasIntactRecord) {
        return;
    }
    m_keys.clear();
    m_byIssue.clear();
    m_othersGenerations.clear();
    m_state = state::Probing;
    m_recovery.firstNonce
        = static_cast<std::uint64_t>(std::chrono::nanoseconds(now.wall.time_since_epoch()).count());
    m_recovery.nonce = m_recovery.firstNonce;
    // The last key of the lost journal may have been issued by a clock that is ahead of this one.
    m_recovery.lifetimeEnd = now.monotonic + keyLifetime + maxAhead + 2 * clockSkew;
}

void ledger_replica::replay(const std::vector<std::string> &records, const ledger_time &now)
{
    for (const std::string &bytes : records) {
        const core::result<journal_record> decoded
            = wire::decode<journal_record>(bytes, core::endpoint{});
        if (core::errorIn(decoded) != nullptr) {
            m_hasIntactRecord = false;
            return;
        }
        apply(core::valueIn(decoded), now);
    }
    m_journalRecords = records.size();
}

void ledger_replica::apply(const journal_record &record, const ledger_time &now)
{
    if (const auto *key = std::get_if<key_record>(&record)) {
        held_key &held = keyFor(key->key);
        held.record = *key;
        // How much of the hold has passed is not known.
        held.holdUntil = now.monotonic + refusalHold;
    } else if (const auto *other = std::get_if<replica_generation>(&record)) {
        m_othersGenerations[other->replica] = other->generation;
    } else if (const auto *forgotten = std::get_if<forgotten_record>(&record)) {
        m_forgottenBefore = std::max(m_forgottenBefore, forgotten->seconds);
    } else if (const auto *intact = std::get_if<intact_record>(&record)) {
        m_hasIntactRecord = true;
        m_generation = intact->generation;
    }
}

replica_effects ledger_replica::start(const ledger_time &now)
{
    if (m_state == state::Probing) {
        m_effects.emplace_back(report_readiness{false, "the journal is lost"});
        sendProbes(now);
    } else if (!m_hasIntactRecord) {
        append(intact_record{m_generation});
        m_readySequence = m_lastSequence;
        m_readyReason = "created";
    } else {
        m_effects.emplace_back(report_readiness{true, "journal read"});
    }
    return takeEffects();
}

replica_effects ledger_replica::receive(const core::host_name &from,
                                        const ledger_message &message,
                                        const ledger_time &now)
{
    std::visit([this, &from, &now](const auto &body) { handle(from, body, now); }, message);
    return takeEffects();
}

void ledger_replica::handle(const core::host_name &from,
                            const claim_request &asked,
                            const ledger_time &now)
{
    held_key *held = openKey(from, asked.key, asked.attempt, now);
    if (held == nullptr) {
        return;
    }
    key_record &record = held->record;
    if (record.phase == key_phase::Free && !contains(record.withdrawn, asked.attempt)) {
        record.phase = key_phase::Granted;
        record.owner = asked.attempt;
        append(record);
    }
    replyAbout(from, *held, asked.attempt, now);
}

void ledger_replica::handle(const core::host_name &from,
                            const refuse_request &asked,
                            const ledger_time &now)
{
    held_key *held = openKey(from, asked.key, asked.attempt, now);
    if (held == nullptr) {
        return;
    }
    key_record &record = held->record;
    const bool ownsGrant = record.phase == key_phase::Granted && isOwner(record, asked.attempt);
    if (ownsGrant || record.phase == key_phase::Free) {
        record.phase = key_phase::Refused;
        record.owner = asked.attempt;
        withdraw(record, asked.attempt);
        held->holdUntil = now.monotonic + refusalHold;
        append(record);
    }
    replyAbout(from, *held, asked.attempt, now);
}

void ledger_replica::handle(const core::host_name &from,
                            const release_request &asked,
                            const ledger_time &now)
{
    held_key *held = openKey(from, asked.key, asked.attempt, now);
    if (held == nullptr) {
        return;
    }
    key_record &record = held->record;
    const bool ownsGrant = record.phase == key_phase::Granted && isOwner(record, asked.attempt);
    if (ownsGrant) {
        record.phase = key_phase::Free;
        record.owner = attempt_id{};
    }
    const bool isNew = !contains(record.withdrawn, asked.attempt);
    if (ownsGrant || (isNew && record.phase != key_phase::Recorded)) {
        withdraw(record, asked.attempt);
        append(record);
    }
    sendWhenSynced(from, replyTo(asked.key, asked.attempt, key_answer::Withdrawn));
}

void ledger_replica::handle(const core::host_name &from,
                            const record_request &asked,
                            const ledger_time &now)
{
    held_key *held = openKey(from, asked.key, asked.attempt, now);
    if (held == nullptr) {
        return;
    }
    key_record &record = held->record;
    if (record.phase != key_phase::Recorded) {
        // The sender ran with a majority of grants, so its outcome counts whatever is held here.
        record.phase = key_phase::Recorded;
        record.owner = asked.attempt;
        record.ownerDisputed = false;
        record.outcome = asked.outcome;
        if (record.outcome.body.size() > maxRecordedBody) {
            record.outcome.body.clear();
            record.outcome.bodyOmitted = true;
        }
        append(record);
    }
    // The sender knows the outcome; the body need not travel back.
    sendWhenSynced(from, replyTo(asked.key, asked.attempt, key_answer::Recorded));
}

void ledger_replica::handle(const core::host_name & /*from*/,
                            const key_reply & /*ignored*/,
                            const ledger_time & /*now*/)
{
}

ledger_replica::held_key *ledger_replica::openKey(const core::host_name &from,
                                                  const core::request_key &key,
                                                  const attempt_id &attempt,
                                                  const ledger_time &now)
{
    if (!isReady()) {
        sendNow(from, replyTo(key, attempt, key_answer::NotReady));
        return nullptr;
    }
    if (!mayGrant(key, now)) {
        sendNow(from, replyTo(key, attempt, key_answer::Expired));
        return nullptr;
    }
    held_key &held = keyFor(key);
    if (held.record.phase == key_phase::Refused && now.monotonic >= held.holdUntil) {
        held.record.phase = key_phase::Free;
        held.record.owner = attempt_id{};
    }
    return &held;
}

void ledger_replica::replyAbout(const core::host_name &to,
                                const held_key &held,
                                const attempt_id &attempt,
                                const ledger_time &now)
{
    const key_record &record = held.record;
    key_reply reply = replyTo(record.key, attempt, key_answer::HeldByOther);
    switch (record.phase) {
    case key_phase::Free:
        reply.answer = key_answer::Withdrawn;
        break;
    case key_phase::Granted:
        reply.answer = isOwner(record, attempt) ? key_answer::Granted : key_answer::HeldByOther;
        break;
    case key_phase::Refused:
        reply.answer = key_answer::Refused;
        reply.hold = held.holdUntil - now.monotonic;
        break;
    case key_phase::Recorded:
        reply.answer = key_answer::Recorded;
        reply.outcome = record.outcome;
        break;
    }
    sendWhenSynced(to, std::move(reply));
}

key_reply
ledger_replica::replyTo(const core::request_key &key, const attempt_id &attempt, key_answer answer)
{
    key_reply reply;
    reply.key = key;
    reply.attempt = attempt;
    reply.answer = answer;
    reply.generation = m_generation;
    reply.others = othersGenerations();
    return reply;
}

bool ledger_replica::mayGrant(const core::request_key &key, const ledger_time &now) const
{
    const core::result<core::wall_time> issued = issueTimeOf(key);
    if (core::errorIn(issued) != nullptr) {
        return false;
    }
    const core::wall_time issuedAt = core::valueIn(issued);
    // A node whose clock is behind takes keys that look too old here.
    return secondsOf(issuedAt) >= m_forgottenBefore
        && now.wall - issuedAt <= keyLifetime + clockSkew
        && issuedAt - now.wall <= maxAhead + clockSkew;
}

ledger_replica::held_key &ledger_replica::keyFor(const core::request_key &key)
{
    const auto [entry, isNew] = m_keys.try_emplace(key);
    if (isNew) {
        entry->second.record.key = key;
        const core::result<core::wall_time> issued = issueTimeOf(key);
        const bool isWellFormed = core::errorIn(issued) == nullptr;
        m_byIssue[isWellFormed ? secondsOf(core::valueIn(issued)) : 0].push_back(key);
    }
    return entry->second;
}

bool ledger_replica::isReplica(const core::host_name &host) const
{
    return std::find(m_settings.replicas.begin(), m_settings.replicas.end(), host)
        != m_settings.replicas.end();
}

void ledger_replica::append(const journal_record &record)
{
    ++m_lastSequence;
    ++m_journalRecords;
    m_effects.emplace_back(append_journal{m_lastSequence, {wire::encode(record)}});
}

void ledger_replica::sendNow(const core::host_name &to, ledger_message message)
{
    m_effects.emplace_back(send_message{to, std::move(message)});
}

void ledger_replica::sendWhenSynced(const core::host_name &to, ledger_message message)
{
    if (m_syncedSequence >= m_lastSequence) {
        sendNow(to, std::move(message));
        return;
    }
    m_waiting.push_back(waiting_reply{m_lastSequence, send_message{to, std::move(message)}});
}

replica_effects ledger_replica::synced(std::uint64_t sequence, const ledger_time & /*now*/)
{
    if (m_state == state::Failed) {
        return takeEffects();
    }
    m_syncedSequence = std::max(m_syncedSequence, sequence);
    while (!m_waiting.empty() && m_waiting.front().sequence <= m_syncedSequence) {
        m_effects.emplace_back(std::move(m_waiting.front().reply));
        m_waiting.pop_front();
    }
    if (m_readySequence && *m_readySequence <= m_syncedSequence) {
        m_readySequence.reset();
        m_effects.emplace_back(report_readiness{true, m_readyReason});
    }
    return takeEffects();
}

replica_effects ledger_replica::journalFailed(const std::string &reason,
                                              const ledger_time & /*now*/)
{
    m_state = state::Failed;
    m_waiting.clear();
    m_effects.emplace_back(report_readiness{false, "the journal failed: " + reason});
    return takeEffects();
}

replica_effects ledger_replica::tick(const ledger_time &now)
{
    if (m_state == state::Ready) {
        forgetExpired(now);
        compactIfLarge();
    } else if (m_state != state::Failed) {
        if (now.monotonic >= m_recovery.lifetimeEnd) {
            // In seconds since 1970, so that it exceeds every counted generation.
            m_generation = static_cast<std::uint64_t>(secondsOf(now.wall));
            finishRecovery("waited for one key lifetime");
        } else if (now.monotonic >= m_recovery.retryAt) {
            sendProbes(now);
            if (m_state == state::Copying) {
                requestPages(now);
            }
        }
    }
    return takeEffects();
}

void ledger_replica::forgetExpired(const ledger_time &now)
{
    // Later than any claim that mayGrant lets through, also where this clock is set back.
    const std::int64_t cutoff = secondsOf(now.wall - keyLifetime - 2 * clockSkew);
    bool forgot = false;
    while (!m_byIssue.empty() && m_byIssue.begin()->first < cutoff) {
        for (const core::request_key &key : m_byIssue.begin()->second) {
            m_keys.erase(key);
        }
        m_byIssue.erase(m_byIssue.begin());
        forgot = true;
    }
    if (forgot && cutoff > m_forgottenBefore) {
        m_forgottenBefore = cutoff;
        append(forgotten_record{cutoff});
    }
}

void ledger_replica::compactIfLarge()
{
    if (m_journalRecords <= 2 * m_keys.size() + m_settings.compactionSlack) {
        return;
    }
    std::vector<std::string> records;
    records.push_back(wire::encode(journal_record(intact_record{m_generation})));
    records.push_back(wire::encode(journal_record(forgotten_record{m_forgottenBefore})));
    for (const auto &[host, generation] : m_othersGenerations) {
        records.push_back(wire::encode(journal_record(replica_generation{host, generation})));
    }
    for (const auto &[key, held] : m_keys) {
        records.push_back(wire::encode(journal_record(held.record)));
    }
    m_journalRecords = records.size();
    m_effects.emplace_back(replace_journal{++m_lastSequence, std::move(records)});
}

bool ledger_replica::isReady() const
{
    return m_state == state::Ready;
}

std::size_t ledger_replica::keyCount() const
{
    return m_keys.size();
}

replica_effects ledger_replica::takeEffects()
{
    return std::exchange(m_effects, {});
}

} // namespace jackdawweir::ledger
