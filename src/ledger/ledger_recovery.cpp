#include <algorithm>
#include <utility>

#include "jackdawweir/ledger/ledger_replica.h"
#include "jackdawweir/wire/codec.h"

// Recovery of a replica whose journal is lost. With n replicas and a majority of q, the replica
// learns its highest generation from n - q + 1 other replicas and copies their records under the
// next generation; each of them stores that generation before it answers. A grant of the lost
// journal then can't complete a majority: a replica that granted the key before its records were
// copied has passed that grant on with them, and a replica that grants the key later reports the
// new generation, whereupon a node drops the grant of the lost journal.

namespace jackdawweir::ledger {

std::size_t ledger_replica::recoveryQuorum() const
{
    const std::size_t majority = m_settings.replicas.size() / 2 + 1;
    return m_settings.replicas.size() - majority + 1;
}

void ledger_replica::sendProbes(const ledger_time &now)
{
    ++m_recovery.nonce;
    m_recovery.retryAt = now.monotonic + m_settings.recoveryRetry;
    for (const core::host_name &each : m_settings.replicas) {
        if (each != m_settings.self) {
            sendNow(each, recovery_probe{m_recovery.nonce});
        }
    }
}

void ledger_replica::handle(const core::host_name &from,
                            const recovery_probe &request,
                            const ledger_time & /*now*/)
{
    if (!isReplica(from)) {
        return;
    }
    const auto known = m_othersGenerations.find(from);
    sendNow(from,
            recovery_probe_reply{request.nonce,
                                 isReady(),
                                 known == m_othersGenerations.end() ? 0 : known->second,
                                 m_generation});
}

void ledger_replica::handle(const core::host_name &from,
                            const recovery_probe_reply &reply,
                            const ledger_time &now)
{
    // A reply to a probe of an earlier process may lack a generation that has been used since.
    const bool answersOwnProbe
        = reply.nonce > m_recovery.firstNonce && reply.nonce <= m_recovery.nonce;
    if (!answersOwnProbe || !isReplica(from)) {
        return;
    }
    if (m_state == state::Copying && reply.requesterGeneration > m_generation) {
        beginCopy(reply.requesterGeneration + 1, now);
        return;
    }
    if (m_state != state::Probing) {
        return;
    }
    if (!reply.intact) {
        m_recovery.probes.erase(from);
        return;
    }
    m_recovery.probes[from] = reply;
    if (m_recovery.probes.size() < recoveryQuorum()) {
        return;
    }
    std::uint64_t highest = 1;
    for (const auto &[host, each] : m_recovery.probes) {
        highest = std::max(highest, each.requesterGeneration);
    }
    beginCopy(highest + 1, now);
}

void ledger_replica::beginCopy(std::uint64_t generation, const ledger_time &now)
{
    m_generation = generation;
    m_state = state::Copying;
    m_recovery.copiedUpTo.clear();
    m_recovery.complete.clear();
    requestPages(now);
}

void ledger_replica::learnGeneration(const core::host_name &host, std::uint64_t generation)
{
    if (host != m_settings.self) {
        std::uint64_t &known = m_othersGenerations[host];
        known = std::max(known, generation);
    }
}

void ledger_replica::requestPages(const ledger_time &now)
{
    m_recovery.retryAt = now.monotonic + m_settings.recoveryRetry;
    for (const core::host_name &each : m_settings.replicas) {
        if (each != m_settings.self && !m_recovery.complete.contains(each)) {
            sendNow(each, recovery_page_request{m_generation, m_recovery.copiedUpTo[each]});
        }
    }
}

void ledger_replica::handle(const core::host_name &from,
                            const recovery_page_request &request,
                            const ledger_time & /*now*/)
{
    if (!isReady() || !isReplica(from)) {
        return;
    }
    std::uint64_t &known = m_othersGenerations[from];
    if (request.generation < known) {
        return;
    }
    if (request.generation > known) {
        known = request.generation;
        append(replica_generation{from, known});
    }
    recovery_page page;
    page.generation = request.generation;
    page.after = request.after;
    page.responderGeneration = m_generation;
    page.others = othersGenerations();
    std::size_t bytes = 0;
    for (auto next = m_keys.upper_bound(request.after); next != m_keys.end(); ++next) {
        if (bytes >= m_settings.recoveryPageBytes) {
            page.more = true;
            break;
        }
        const key_record &record = next->second.record;
        constexpr std::size_t attemptBytes = 18;
        bytes += record.key.value.size() + record.outcome.body.size()
            + attemptBytes * (record.withdrawn.size() + 2);
        page.records.push_back(record);
    }
    sendWhenSynced(from, std::move(page));
}

void ledger_replica::handle(const core::host_name &from,
                            const recovery_page &page,
                            const ledger_time &now)
{
    const bool isExpected = m_state == state::Copying && isReplica(from)
        && page.generation == m_generation && !m_recovery.complete.contains(from)
        && page.after == m_recovery.copiedUpTo[from];
    if (!isExpected) {
        return;
    }
    for (const key_record &each : page.records) {
        merge(each, now);
    }
    learnGeneration(from, page.responderGeneration);
    for (const replica_generation &each : page.others) {
        learnGeneration(each.replica, each.generation);
    }
    if (page.more && !page.records.empty()) {
        m_recovery.copiedUpTo[from] = page.records.back().key;
        sendNow(from, recovery_page_request{m_generation, m_recovery.copiedUpTo[from]});
        return;
    }
    m_recovery.complete.insert(from);
    if (m_recovery.complete.size() >= recoveryQuorum()) {
        finishRecovery("copied from the other replicas");
    }
}

void ledger_replica::merge(const key_record &copied, const ledger_time &now)
{
    key_entry &entry = findOrCreateEntry(copied.key);
    key_record &record = entry.record;
    for (const attempt_id &each : copied.withdrawn) {
        if (std::find(record.withdrawn.begin(), record.withdrawn.end(), each)
            == record.withdrawn.end()) {
            record.withdrawn.push_back(each);
        }
    }
    if (record.phase == key_phase::Recorded || copied.phase == key_phase::Free) {
        return;
    }
    entry.holdUntil = now.monotonic + refusalHold;
    if (record.phase == key_phase::Free || copied.phase == key_phase::Recorded) {
        record.phase = copied.phase;
        record.owner = copied.owner;
        record.ownerDisputed = copied.ownerDisputed;
        record.outcome = copied.outcome;
        return;
    }
    const bool areBothRefused
        = record.phase == key_phase::Refused && copied.phase == key_phase::Refused;
    if (areBothRefused || (record.phase == copied.phase && record.owner == copied.owner)) {
        record.ownerDisputed = record.ownerDisputed || copied.ownerDisputed;
        return;
    }
    // The lost journal may have agreed with either record, so neither owner gets the key granted.
    record.phase = key_phase::Granted;
    record.ownerDisputed = true;
}

void ledger_replica::finishRecovery(const std::string &reason)
{
    m_state = state::Ready;
    for (const auto &[host, generation] : m_othersGenerations) {
        append(replica_generation{host, generation});
    }
    for (const auto &[key, entry] : m_keys) {
        append(entry.record);
    }
    append(journal_complete_record{m_generation});
    m_readySequence = m_lastSequence;
    m_readyReason = reason;
}

std::vector<replica_generation> ledger_replica::othersGenerations() const
{
    std::vector<replica_generation> others;
    for (const auto &[host, generation] : m_othersGenerations) {
        if (generation > 1) {
            others.push_back(replica_generation{host, generation});
        }
    }
    return others;
}

} // namespace jackdawweir::ledger
