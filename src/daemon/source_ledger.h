// Drives the ledger replica of a source and its journal.

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

// Lives on the source's loop. Replicas and nodes are named by their mesh endpoints.
class source_ledger
{
public:
    // `askAdmission` asks the leader whether a ledger replica at this address existed before; the
    // answer comes back through admitted().
    source_ledger(process_context &context,
                  event_loop &loop,
                  mesh_send send,
                  std::function<void(std::uint64_t nonce)> askAdmission);

    // Opens the journal. Errors: Unavailable.
    core::status open();

    // Takes the answer to askAdmission.
    void admitted(std::uint64_t nonce, bool isFirst);

    void handle(const core::endpoint &peer, const ledger::ledger_message &received);
    void tick();

private:
    core::result<storage::opened_log> openJournal();
    void startReplica(ledger::journal_start start, const std::vector<std::string> &records);
    void perform(const ledger::replica_effects &wanted);
    core::status write(const std::vector<std::string> &records);
    void append(const ledger::append_journal &wanted);
    void replace(const ledger::replace_journal &wanted);
    void flush();
    void fail(const core::error &failure);
    ledger::ledger_time now() const;

    process_context &m_context;
    event_loop &m_loop;
    mesh_send m_send;
    std::function<void(std::uint64_t)> m_askAdmission;
    core::random_engine m_engine;
    std::unique_ptr<storage::store> m_files;
    std::unique_ptr<storage::log_file> m_journal;
    std::optional<ledger::ledger_replica> m_replica;
    std::uint64_t m_admissionNonce = 0;
    core::monotonic_time m_askAt;
    // The last appended sequence that is not synced yet.
    std::optional<std::uint64_t> m_unsynced;
    bool m_isFlushPosted = false;
};

} // namespace jackdawweir::daemon
