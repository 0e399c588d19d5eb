#include "jackdawweir/ledger/ledger_replica.h"

#include <algorithm>
#include <utility>

#include "jackdawweir/wire/codec.h"

namespace jackdawweir::ledger {

namespace {

// The generation of a replica that has never lost its journal.
constexpr std::uint64_t firstGeneration = 1;
// Maximum number of withdrawn attempts stored for a key; the oldest is dropped first. A dropped
// attempt can be granted the key by a delayed claim after it has ended. A resend then gets no
// outcome, but no request runs twice.
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
    if (m_hasJournalCompleteRecord) {
        return;
    }
    m_keys.clear();
    m_keysByIssueSecond.clear();
    m_othersGenerations.clear();
    m_state = state::Probing;
    m_recovery.firstNonce
        = static_cast<std::uint64_t>(std::chrono::nanoseconds(now.wall.time_since_epoch()).count());
    m_recovery.nonce = m_recovery.firstNonce;
    // The clock that issued the last key of the lost journal may be ahead of this host's clock.
    m_recovery.lostKeysExpireAt = now.monotonic + keyLifetime + maxAhead + 2 * clockSkew;
}

void ledger_replica::replay(const std::vector<std::string> &records, const ledger_time &now)
{
    for (const std::string &bytes : records) {
        const core::result<journal_record> decoded
            = wire::decode<journal_record>(bytes, core::endpoint{});
        if (core::errorIn(decoded) != nullptr) {
            m_hasJournalCompleteRecord = false;
            return;
        }
        apply(core::valueIn(decoded), now);
    }
    m_journalRecords = records.size();
}

void ledger_replica::apply(const journal_record &record, const ledger_time &now)
{
    if (const auto *key = std::get_if<key_record>(&record)) {
        key_entry &entry = findOrCreateEntry(key->key);
        entry.record = *key;
        // The journal does not record how much of the hold has passed, so the hold starts again.
        entry.holdUntil = now.monotonic + refusalHold;
    } else if (const auto *other = std::get_if<replica_generation>(&record)) {
        m_othersGenerations[other->replica] = other->generation;
    } else if (const auto *expired = std::get_if<expired_keys_record>(&record)) {
        m_expiredBefore = std::max(m_expiredBefore, expired->seconds);
    } else if (const auto *complete = std::get_if<journal_complete_record>(&record)) {
        m_hasJournalCompleteRecord = true;
        m_generation = complete->generation;
    }
}

replica_effects ledger_replica::start(const ledger_time &now)
{
    if (m_state == state::Probing) {
        m_effects.emplace_back(report_readiness{false, "the journal is lost"});
        sendProbes(now);
    } else if (!m_hasJournalCompleteRecord) {
        append(journal_complete_record{m_generation});
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
                            const claim_request &request,
                            const ledger_time &now)
{
    key_entry *entry = admitKey(from, request.key, request.attempt, now);
    if (entry == nullptr) {
        return;
    }
    key_record &record = entry->record;
    if (record.phase == key_phase::Free && !contains(record.withdrawn, request.attempt)) {
        record.phase = key_phase::Granted;
        record.owner = request.attempt;
        append(record);
    }
    sendStateReply(from, *entry, request.attempt, now);
}

void ledger_replica::handle(const core::host_name &from,
                            const refuse_request &request,
                            const ledger_time &now)
{
    key_entry *entry = admitKey(from, request.key, request.attempt, now);
    if (entry == nullptr) {
        return;
    }
    key_record &record = entry->record;
    const bool ownsGrant = record.phase == key_phase::Granted && isOwner(record, request.attempt);
    if (ownsGrant || record.phase == key_phase::Free) {
        record.phase = key_phase::Refused;
        record.owner = request.attempt;
        withdraw(record, request.attempt);
        entry->holdUntil = now.monotonic + refusalHold;
        append(record);
    }
    sendStateReply(from, *entry, request.attempt, now);
}

void ledger_replica::handle(const core::host_name &from,
                            const release_request &request,
                            const ledger_time &now)
{
    key_entry *entry = admitKey(from, request.key, request.attempt, now);
    if (entry == nullptr) {
        return;
    }
    key_record &record = entry->record;
    const bool ownsGrant = record.phase == key_phase::Granted && isOwner(record, request.attempt);
    if (ownsGrant) {
        record.phase = key_phase::Free;
        record.owner = attempt_id{};
    }
    const bool isNew = !contains(record.withdrawn, request.attempt);
    if (ownsGrant || (isNew && record.phase != key_phase::Recorded)) {
        withdraw(record, request.attempt);
        append(record);
    }
    sendWhenSynced(from, makeReply(request.key, request.attempt, key_answer::Withdrawn));
}

void ledger_replica::handle(const core::host_name &from,
                            const record_request &request,
                            const ledger_time &now)
{
    key_entry *entry = admitKey(from, request.key, request.attempt, now);
    if (entry == nullptr) {
        return;
    }
    key_record &record = entry->record;
    if (record.phase != key_phase::Recorded) {
        // The sender ran with a majority of grants, so its outcome overrides the state stored here.
        record.phase = key_phase::Recorded;
        record.owner = request.attempt;
        record.ownerDisputed = false;
        record.outcome = request.outcome;
        if (record.outcome.body.size() > maxRecordedBody) {
            record.outcome.body.clear();
            record.outcome.bodyOmitted = true;
        }
        append(record);
    }
    // The sender already has the outcome, so the reply does not repeat it.
    sendWhenSynced(from, makeReply(request.key, request.attempt, key_answer::Recorded));
}

void ledger_replica::handle(const core::host_name & /*from*/,
                            const key_reply & /*ignored*/,
                            const ledger_time & /*now*/)
{
}

ledger_replica::key_entry *ledger_replica::admitKey(const core::host_name &from,
                                                    const core::request_key &key,
                                                    const attempt_id &attempt,
                                                    const ledger_time &now)
{
    if (!isReady()) {
        sendNow(from, makeReply(key, attempt, key_answer::NotReady));
        return nullptr;
    }
    if (!isKeyAgeValid(key, now)) {
        sendNow(from, makeReply(key, attempt, key_answer::Expired));
        return nullptr;
    }
    key_entry &entry = findOrCreateEntry(key);
    if (entry.record.phase == key_phase::Refused && now.monotonic >= entry.holdUntil) {
        entry.record.phase = key_phase::Free;
        entry.record.owner = attempt_id{};
    }
    return &entry;
}

void ledger_replica::sendStateReply(const core::host_name &to,
                                    const key_entry &entry,
                                    const attempt_id &attempt,
                                    const ledger_time &now)
{
    const key_record &record = entry.record;
    key_reply reply = makeReply(record.key, attempt, key_answer::HeldByOther);
    switch (record.phase) {
    case key_phase::Free:
        reply.answer = key_answer::Withdrawn;
        break;
    case key_phase::Granted:
        reply.answer = isOwner(record, attempt) ? key_answer::Granted : key_answer::HeldByOther;
        break;
    case key_phase::Refused:
        reply.answer = key_answer::Refused;
        reply.remainingHold = entry.holdUntil - now.monotonic;
        break;
    case key_phase::Recorded:
        reply.answer = key_answer::Recorded;
        reply.outcome = record.outcome;
        break;
    }
    sendWhenSynced(to, std::move(reply));
}

key_reply ledger_replica::makeReply(const core::request_key &key,
                                    const attempt_id &attempt,
                                    key_answer answer)
{
    key_reply reply;
    reply.key = key;
    reply.attempt = attempt;
    reply.answer = answer;
    reply.generation = m_generation;
    reply.others = othersGenerations();
    return reply;
}

bool ledger_replica::isKeyAgeValid(const core::request_key &key, const ledger_time &now) const
{
    const core::result<core::wall_time> issued = issueTimeOf(key);
    if (core::errorIn(issued) != nullptr) {
        return false;
    }
    const core::wall_time issuedAt = core::valueIn(issued);
    // The limits allow for clock skew: a node whose clock is behind accepts keys that look too old
    // to this host.
    return secondsOf(issuedAt) >= m_expiredBefore && now.wall - issuedAt <= keyLifetime + clockSkew
        && issuedAt - now.wall <= maxAhead + clockSkew;
}

ledger_replica::key_entry &ledger_replica::findOrCreateEntry(const core::request_key &key)
{
    const auto [position, isNew] = m_keys.try_emplace(key);
    if (isNew) {
        position->second.record.key = key;
        const core::result<core::wall_time> issued = issueTimeOf(key);
        const bool isWellFormed = core::errorIn(issued) == nullptr;
        m_keysByIssueSecond[isWellFormed ? secondsOf(core::valueIn(issued)) : 0].push_back(key);
    }
    return position->second;
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
    m_pendingReplies.push_back(pending_reply{m_lastSequence, send_message{to, std::move(message)}});
}

replica_effects ledger_replica::synced(std::uint64_t sequence, const ledger_time & /*now*/)
{
    if (m_state == state::Failed) {
        return takeEffects();
    }
    m_syncedSequence = std::max(m_syncedSequence, sequence);
    while (!m_pendingReplies.empty() && m_pendingReplies.front().sequence <= m_syncedSequence) {
        m_effects.emplace_back(std::move(m_pendingReplies.front().reply));
        m_pendingReplies.pop_front();
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
    m_pendingReplies.clear();
    m_effects.emplace_back(report_readiness{false, "the journal failed: " + reason});
    return takeEffects();
}

replica_effects ledger_replica::tick(const ledger_time &now)
{
    if (m_state == state::Ready) {
        removeExpired(now);
        compactIfLarge();
    } else if (m_state != state::Failed) {
        if (now.monotonic >= m_recovery.lostKeysExpireAt) {
            // The seconds since 1970 exceed every generation that was reached by counting from 1.
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

void ledger_replica::removeExpired(const ledger_time &now)
{
    // Keys issued before the cutoff no longer pass isKeyAgeValid. The cutoff is stored, so that
    // they stay rejected if this clock is set back.
    const std::int64_t cutoff = secondsOf(now.wall - keyLifetime - 2 * clockSkew);
    bool hasExpired = false;
    while (!m_keysByIssueSecond.empty() && m_keysByIssueSecond.begin()->first < cutoff) {
        for (const core::request_key &key : m_keysByIssueSecond.begin()->second) {
            m_keys.erase(key);
        }
        m_keysByIssueSecond.erase(m_keysByIssueSecond.begin());
        hasExpired = true;
    }
    if (hasExpired && cutoff > m_expiredBefore) {
        m_expiredBefore = cutoff;
        append(expired_keys_record{cutoff});
    }
}

void ledger_replica::compactIfLarge()
{
    if (m_journalRecords <= 2 * m_keys.size() + m_settings.compactionSlack) {
        return;
    }
    std::vector<std::string> records;
    records.push_back(wire::encode(journal_record(journal_complete_record{m_generation})));
    records.push_back(wire::encode(journal_record(expired_keys_record{m_expiredBefore})));
    for (const auto &[host, generation] : m_othersGenerations) {
        records.push_back(wire::encode(journal_record(replica_generation{host, generation})));
    }
    for (const auto &[key, entry] : m_keys) {
        records.push_back(wire::encode(journal_record(entry.record)));
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
