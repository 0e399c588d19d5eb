// Runs the ledger replica of a source and writes its journal.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "daemon/event_loop.h"
#include "daemon/process_context.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/ledger/ledger_replica.h"
#include "jackdawweir/storage/store.h"

namespace jackdawweir::daemon {

// Used only on the source's loop. The host names of replicas and nodes are their mesh endpoints.
class source_ledger
{
public:
    // `requestAdmission` checks with the leader whether a ledger replica at this address existed
    // before. The reply is passed to handleAdmission().
    source_ledger(process_context &context,
                  event_loop &loop,
                  mesh_send send,
                  std::function<void(std::uint64_t nonce)> requestAdmission);

    // Opens the journal. Errors: Unavailable.
    core::status open();

    // Handles the reply to `requestAdmission`.
    void handleAdmission(std::uint64_t nonce, bool isFirst);

    void handle(const core::endpoint &peer, const ledger::ledger_message &received);
    void tick();

private:
    core::result<storage::opened_log> openJournal();
    void startReplica(ledger::journal_start start, const std::vector<std::string> &records);
    void perform(const ledger::replica_effects &wanted);
    core::status appendRecords(const std::vector<std::string> &records);
    void append(const ledger::append_journal &wanted);
    void replace(const ledger::replace_journal &wanted);
    void flush();
    void fail(const core::error &failure);
    ledger::ledger_time now() const;

    process_context &m_context;
    event_loop &m_loop;
    mesh_send m_send;
    std::function<void(std::uint64_t)> m_requestAdmission;
    core::random_engine m_engine;
    std::unique_ptr<storage::store> m_files;
    std::unique_ptr<storage::log_file> m_journal;
    std::optional<ledger::ledger_replica> m_replica;
    // The nonce of this start's admission requests; 0 if the journal had records, so that none is
    // needed.
    std::uint64_t m_admissionNonce = 0;
    core::monotonic_time m_nextAdmissionRequest;
    // The sequence of the last append that has not been synced.
    std::optional<std::uint64_t> m_unsynced;
    bool m_isFlushPosted = false;
};

} // namespace jackdawweir::daemon
