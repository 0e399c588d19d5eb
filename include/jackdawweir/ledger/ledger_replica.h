// One replica of the ledger of request keys: a deterministic state machine that runs on a source
// host. The ledger grants a key to at most one attempt at a time and stores the outcome of its run.
// The driver performs the effects in order and reports each completed sync of the journal.
//
//     ledger_replica replica(settings, journal_start::Continued, records, now);
//     perform(replica.start(now));
//     perform(replica.receive(from, message, now));
//     perform(replica.synced(sequence, now));

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/ledger/messages.h"
#include "jackdawweir/ledger/request_key.h"

namespace jackdawweir::ledger {

// The time for which a refused key is not granted. It must exceed twice claimTime (see
// key_claim.h); the rest is a margin for pauses of a process.
constexpr std::chrono::milliseconds refusalHold{3000};

struct replica_settings {
    core::host_name self;
    // Every replica, including `self`. A key is granted by a majority of them.
    std::vector<core::host_name> replicas;
    std::chrono::nanoseconds recoveryRetry = std::chrono::milliseconds(200);
    std::size_t recoveryPageBytes = 4U << 20U;
    // The journal is compacted once it exceeds twice the number of known keys by this many records.
    std::size_t compactionSlack = 4096;
};

// The condition of the journal when the process starts.
enum class journal_start : std::uint8_t {
    // The operator has just created the ledger; no replica has ever granted a key.
    Created,
    // The journal was read. It still counts as lost if it lacks a journal_complete_record.
    Continued,
    // The journal is missing, or it is damaged before the end of its synced part.
    Lost,
};

// Sends a message to a replica or a node.
struct send_message {
    core::host_name to;
    ledger_message message;
};

// Appends the encoded records to the journal and syncs it; the driver then calls synced(sequence).
// Several appends may share one sync, which is reported with the sequence of the last append.
struct append_journal {
    std::uint64_t sequence = 0;
    std::vector<std::string> records;
};

// Like append_journal, but the records replace the whole journal atomically.
struct replace_journal {
    std::uint64_t sequence = 0;
    std::vector<std::string> records;
};

// Reports to operators that the replica has begun or stopped granting keys.
struct report_readiness {
    bool isReady = false;
    std::string reason;
};

using replica_effect
    = std::variant<send_message, append_journal, replace_journal, report_readiness>;
using replica_effects = std::vector<replica_effect>;

class ledger_replica
{
public:
    // `records` are the encoded records of the journal in order. A journal with a record that can't
    // be decoded counts as lost.
    ledger_replica(const replica_settings &settings,
                   journal_start start,
                   const std::vector<std::string> &records,
                   const ledger_time &now);

    // To be called once before any other input.
    replica_effects start(const ledger_time &now);

    replica_effects
    receive(const core::host_name &from, const ledger_message &message, const ledger_time &now);

    // To be called once every append up to `sequence` is durable.
    replica_effects synced(std::uint64_t sequence, const ledger_time &now);

    // To be called when a write or sync of the journal has failed. No key is granted until the
    // process is restarted.
    replica_effects journalFailed(const std::string &reason, const ledger_time &now);

    // To be called every 100 ms.
    replica_effects tick(const ledger_time &now);

    bool isReady() const;
    std::size_t keyCount() const;

private:
    struct key_entry {
        key_record record;
        core::monotonic_time holdUntil;
    };

    struct pending_reply {
        std::uint64_t sequence = 0;
        send_message reply;
    };

    enum class state : std::uint8_t {
        Ready,
        Probing, // The journal is lost; requests its highest known generation from the others.
        Copying, // Copies the records of the other replicas.
        Failed, // The journal failed.
    };

    struct recovery {
        // Only replies with a greater nonce count: lower ones answer probes of an earlier process.
        std::uint64_t firstNonce = 0;
        std::uint64_t nonce = 0;
        core::monotonic_time retryAt;
        // Every key of the lost journal has expired by this time.
        core::monotonic_time lostKeysExpireAt;
        std::map<core::host_name, recovery_probe_reply> probes;
        std::map<core::host_name, core::request_key> copiedUpTo;
        std::set<core::host_name> complete;
    };

    void replay(const std::vector<std::string> &records, const ledger_time &now);
    void apply(const journal_record &record, const ledger_time &now);
    std::size_t recoveryQuorum() const;

    void handle(const core::host_name &from, const claim_request &request, const ledger_time &now);
    void handle(const core::host_name &from, const refuse_request &request, const ledger_time &now);
    void
    handle(const core::host_name &from, const release_request &request, const ledger_time &now);
    void handle(const core::host_name &from, const record_request &request, const ledger_time &now);
    void handle(const core::host_name &from, const key_reply &ignored, const ledger_time &now);
    void handle(const core::host_name &from, const recovery_probe &request, const ledger_time &now);
    void
    handle(const core::host_name &from, const recovery_probe_reply &reply, const ledger_time &now);
    void handle(const core::host_name &from,
                const recovery_page_request &request,
                const ledger_time &now);
    void handle(const core::host_name &from, const recovery_page &page, const ledger_time &now);

    bool isKeyAgeValid(const core::request_key &key, const ledger_time &now) const;
    bool isReplica(const core::host_name &host) const;
    key_entry &findOrCreateEntry(const core::request_key &key);
    // Returns the entry of `key`, freed if its refusal hold has ended. Returns nullptr if the
    // replica is not ready or the key has expired; the reply that reports this has then already
    // been sent.
    key_entry *admitKey(const core::host_name &from,
                        const core::request_key &key,
                        const attempt_id &attempt,
                        const ledger_time &now);
    key_reply makeReply(const core::request_key &key, const attempt_id &attempt, key_answer answer);
    void sendStateReply(const core::host_name &to,
                        const key_entry &entry,
                        const attempt_id &attempt,
                        const ledger_time &now);
    void append(const journal_record &record);
    void sendNow(const core::host_name &to, ledger_message message);
    void sendWhenSynced(const core::host_name &to, ledger_message message);

    void removeExpired(const ledger_time &now);
    void compactIfLarge();
    void sendProbes(const ledger_time &now);
    void beginCopy(std::uint64_t generation, const ledger_time &now);
    void learnGeneration(const core::host_name &host, std::uint64_t generation);
    void requestPages(const ledger_time &now);
    void merge(const key_record &copied, const ledger_time &now);
    void finishRecovery(const std::string &reason);
    std::vector<replica_generation> othersGenerations() const;
    replica_effects takeEffects();

    replica_settings m_settings;
    state m_state = state::Ready;
    bool m_hasJournalCompleteRecord = false;
    std::uint64_t m_generation = 0;
    std::map<core::host_name, std::uint64_t> m_othersGenerations;
    std::map<core::request_key, key_entry> m_keys;
    // Keys by the Unix second of their issue.
    std::map<std::int64_t, std::vector<core::request_key>> m_keysByIssueSecond;
    std::int64_t m_expiredBefore = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_syncedSequence = 0;
    std::size_t m_journalRecords = 0;
    // Readiness is reported once the append with this sequence is durable.
    std::optional<std::uint64_t> m_readySequence;
    std::string m_readyReason;
    std::deque<pending_reply> m_pendingReplies;
    recovery m_recovery;
    replica_effects m_effects;
};

} // namespace jackdawweir::ledger
