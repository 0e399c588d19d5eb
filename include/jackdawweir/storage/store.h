// Log files and snapshot files of one data folder, behind an interface that can fail.
//
//     core::result<opened_log> opened = files.openLog("journal");
//     if (core::errorIn(opened) != nullptr) { /* DataLoss: the disk is lost */ }
//     log_file &journal = *core::valueIn(opened).file;
//     journal.append(record);
//     journal.sync();   // only now is the record durable
//
// After a failed write or sync every further call fails: what reached the disk is unknown then, and
// a retried sync may report success for data that the operating system has dropped.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawweir/core/error.h"

namespace jackdawweir::storage {

// A sequence of records of bytes. Each record carries a checksum.
class log_file
{
public:
    log_file() = default;
    log_file(const log_file &) = delete;
    log_file &operator=(const log_file &) = delete;
    virtual ~log_file() = default;

    // Adds a record, which is durable after the next sync. Errors: ResourceExhausted where the
    // record is above maxRecordBytes; Unavailable after any failed write or sync.
    virtual core::status append(std::string_view record) = 0;

    // Makes all appended records durable. Errors: Unavailable.
    virtual core::status sync() = 0;

    // Removes all records but the first `kept`, durably. Errors: InvalidArgument where there are
    // fewer; Unavailable.
    virtual core::status truncateTail(std::uint64_t kept) = 0;

    // Replaces all records at once, durably: after a crash the file holds the old or the new ones.
    // Errors: as append.
    virtual core::status rewrite(const std::vector<std::string> &records) = 0;

    // Returns all records, synced or not. Errors: Unavailable; DataLoss.
    virtual core::result<std::vector<std::string>> readAll() = 0;

    virtual std::uint64_t recordCount() const = 0;
};

// A record above this size is an error of the caller; a snapshot is no record.
constexpr std::size_t maxRecordBytes = 16U << 20U;

// The unsynced end of a log file that was cut off when it was opened.
struct discarded_tail {
    std::uint64_t bytes = 0;
    // What was wrong with it, for the log.
    std::string reason;
};

struct opened_log {
    std::unique_ptr<log_file> file;
    std::vector<std::string> records;
    std::optional<discarded_tail> discardedTail;
};

// One data folder. The store outlives the log files it opened. Not safe to use from several
// threads.
class store
{
public:
    store() = default;
    store(const store &) = delete;
    store &operator=(const store &) = delete;
    virtual ~store() = default;

    // Opens or creates a log file and cuts off a torn, truncated or damaged tail that was never
    // synced. Errors: DataLoss where the synced part is damaged, which means that the disk is lost;
    // Unavailable.
    virtual core::result<opened_log> openLog(const std::string &name) = 0;

    // Replaces a snapshot, durably: after a crash the old or the new one is there.
    // Errors: Unavailable.
    virtual core::status writeSnapshot(const std::string &name, std::string_view bytes) = 0;

    // Returns nothing where no snapshot was written. Errors: DataLoss, which means that the disk is
    // lost; Unavailable.
    virtual core::result<std::optional<std::string>> readSnapshot(const std::string &name) = 0;

    // Removes every file, for a replica that starts anew after a lost disk. Errors: Unavailable.
    virtual core::status discardAll() = 0;
};

} // namespace jackdawweir::storage
