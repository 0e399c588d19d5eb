#include "daemon/source_ledger.h"

#include <random>
#include <utility>
#include <variant>

#include "jackdawweir/storage/file_store.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::daemon {

namespace {

constexpr const char *ledgerFolder = "/ledger";
constexpr const char *journalName = "journal";
constexpr std::chrono::milliseconds admissionRetryInterval{500};

} // namespace

source_ledger::source_ledger(process_context &context,
                             event_loop &loop,
                             mesh_send send,
                             std::function<void(std::uint64_t)> requestAdmission)
    : m_context(context)
    , m_loop(loop)
    , m_send(std::move(send))
    , m_requestAdmission(std::move(requestAdmission))
    , m_engine(std::random_device()())
{
}

core::status source_ledger::open()
{
    core::result<std::unique_ptr<storage::store>> files
        = storage::openFileStore(m_context.settings.source->dataFolder + ledgerFolder);
    if (const core::error *failure = core::errorIn(files)) {
        return *failure;
    }
    m_files = core::valueIn(std::move(files));
    core::result<storage::opened_log> opened = openJournal();
    if (const core::error *failure = core::errorIn(opened)) {
        return *failure;
    }
    storage::opened_log &journal = std::get<0>(opened);
    m_journal = std::move(journal.file);
    if (!journal.records.empty()) {
        startReplica(ledger::journal_start::Continued, journal.records);
        return core::okStatus();
    }
    m_admissionNonce = m_engine() | 1U;
    return core::okStatus();
}

core::result<storage::opened_log> source_ledger::openJournal()
{
    core::result<storage::opened_log> opened = m_files->openLog(journalName);
    const core::error *failure = core::errorIn(opened);
    if (failure == nullptr || failure->code != core::error_code::DataLoss) {
        return opened;
    }
    m_context.recordError("journal-lost", *failure);
    const core::status discarded = m_files->discardAll();
    if (const core::error *refused = core::errorIn(discarded)) {
        return *refused;
    }
    return m_files->openLog(journalName);
}

void source_ledger::handleAdmission(std::uint64_t nonce, bool isFirst)
{
    if (m_replica || nonce != m_admissionNonce) {
        return;
    }
    startReplica(isFirst ? ledger::journal_start::Created : ledger::journal_start::Lost, {});
}

void source_ledger::startReplica(ledger::journal_start start,
                                 const std::vector<std::string> &records)
{
    ledger::replica_settings settings;
    settings.self.value = m_context.settings.source->mesh.value;
    for (const core::endpoint &source : m_context.settings.sources) {
        settings.replicas.push_back(core::host_name{source.value});
    }
    m_replica.emplace(settings, start, records, now());
    perform(m_replica->start(now()));
}

void source_ledger::handle(const core::endpoint &peer, const ledger::ledger_message &received)
{
    if (m_replica) {
        perform(m_replica->receive(core::host_name{peer.value}, received, now()));
    }
}

void source_ledger::tick()
{
    if (m_replica) {
        perform(m_replica->tick(now()));
        return;
    }
    const core::monotonic_time current = m_context.clock.monotonicNow();
    if (m_admissionNonce != 0 && current >= m_nextAdmissionRequest) {
        m_nextAdmissionRequest = current + admissionRetryInterval;
        m_requestAdmission(m_admissionNonce);
    }
}

void source_ledger::perform(const ledger::replica_effects &wanted)
{
    for (const ledger::replica_effect &each : wanted) {
        if (const auto *sent = std::get_if<ledger::send_message>(&each)) {
            m_send(
                core::endpoint{sent->to.value}, wire::channel::Ledger, wire::encode(sent->message));
        } else if (const auto *appended = std::get_if<ledger::append_journal>(&each)) {
            append(*appended);
        } else if (const auto *replaced = std::get_if<ledger::replace_journal>(&each)) {
            replace(*replaced);
        } else {
            const auto &readiness = std::get<ledger::report_readiness>(each);
            m_context.record(m_context.event("ledger-readiness")
                                 .step("ledger")
                                 .field("ready", readiness.isReady ? "true" : "false")
                                 .field("reason", readiness.reason)
                                 .build());
        }
    }
}

core::status source_ledger::appendRecords(const std::vector<std::string> &records)
{
    for (const std::string &record : records) {
        core::status appended = m_journal->append(record);
        if (core::errorIn(appended) != nullptr) {
            return appended;
        }
    }
    return core::okStatus();
}

void source_ledger::append(const ledger::append_journal &wanted)
{
    const core::status written = appendRecords(wanted.records);
    if (const core::error *failure = core::errorIn(written)) {
        fail(*failure);
        return;
    }
    m_unsynced = wanted.sequence;
    // Grants that are appended before the posted flush runs share one sync.
    if (!std::exchange(m_isFlushPosted, true)) {
        m_loop.post([this] { flush(); });
    }
}

void source_ledger::replace(const ledger::replace_journal &wanted)
{
    const core::status written = m_journal->rewrite(wanted.records);
    if (const core::error *failure = core::errorIn(written)) {
        fail(*failure);
        return;
    }
    m_unsynced.reset();
    m_loop.post(
        [this, sequence = wanted.sequence] { perform(m_replica->synced(sequence, now())); });
}

void source_ledger::flush()
{
    m_isFlushPosted = false;
    if (!m_unsynced) {
        return;
    }
    const std::uint64_t sequence = *std::exchange(m_unsynced, std::nullopt);
    const core::status synced = m_journal->sync();
    if (const core::error *failure = core::errorIn(synced)) {
        fail(*failure);
        return;
    }
    perform(m_replica->synced(sequence, now()));
}

void source_ledger::fail(const core::error &failure)
{
    m_context.recordError("journal-failed", failure);
    m_loop.post(
        [this, message = failure.message] { perform(m_replica->journalFailed(message, now())); });
}

ledger::ledger_time source_ledger::now() const
{
    return {m_context.clock.monotonicNow(), m_context.clock.wallNow()};
}

} // namespace jackdawweir::daemon
