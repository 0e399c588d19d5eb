// Durable log files and snapshot files in one data folder.
//
//     core::result<opened_log> opened = files.openLog("journal");
//     if (core::errorIn(opened) != nullptr) { /* DataLoss: synced data is damaged */ }
//     log_file &journal = *core::valueIn(opened).file;
//     journal.append(record);
//     journal.sync();   // makes the record durable
//
// After a failed write or sync every further call fails: it is unknown which data reached the disk,
// and a retried sync may report success for data that the operating system has dropped.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawweir/core/error.h"

namespace jackdawweir::storage {

// A sequence of binary records, each stored with a checksum.
class log_file
{
public:
    log_file() = default;
    log_file(const log_file &) = delete;
    log_file &operator=(const log_file &) = delete;
    virtual ~log_file() = default;

    // Appends a record, which is durable after the next sync. Errors: ResourceExhausted when the
    // record exceeds maxRecordBytes; Unavailable after any failed write or sync.
    virtual core::status append(std::string_view record) = 0;

    // Makes all appended records durable. Errors: Unavailable.
    virtual core::status sync() = 0;

    // Durably removes all records except the first `kept`. Errors: InvalidArgument when there are
    // fewer records; Unavailable.
    virtual core::status truncateTail(std::uint64_t kept) = 0;

    // Replaces all records atomically and durably: after a crash the file holds either all old or
    // all new records. Errors: as append.
    virtual core::status rewrite(const std::vector<std::string> &records) = 0;

    // Returns all records, whether synced or not. Errors: Unavailable; DataLoss.
    virtual core::result<std::vector<std::string>> readAll() = 0;

    virtual std::uint64_t recordCount() const = 0;
};

// The largest record that append and rewrite accept. Snapshots are not limited by it.
constexpr std::size_t maxRecordBytes = 16U << 20U;

// The unsynced tail that openLog removed from a log file.
struct discarded_tail {
    std::uint64_t bytes = 0;
    // Why the tail could not be read, for a log line.
    std::string reason;
};

struct opened_log {
    std::unique_ptr<log_file> file;
    std::vector<std::string> records;
    std::optional<discarded_tail> discardedTail;
};

// One data folder. A store must outlive the log files that it opened. It is not thread-safe.
class store
{
public:
    store() = default;
    store(const store &) = delete;
    store &operator=(const store &) = delete;
    virtual ~store() = default;

    // Opens or creates a log file and removes a torn, truncated or damaged tail that was never
    // synced. Errors: DataLoss when the synced part is damaged, so that the replica must treat its
    // disk as lost; Unavailable.
    virtual core::result<opened_log> openLog(const std::string &name) = 0;

    // Replaces a snapshot atomically and durably: after a crash either the old or the new one is
    // read. Errors: Unavailable.
    virtual core::status writeSnapshot(const std::string &name, std::string_view bytes) = 0;

    // Returns nothing when no snapshot was written. Errors: DataLoss when the snapshot is damaged,
    // so that the replica must treat its disk as lost; Unavailable.
    virtual core::result<std::optional<std::string>> readSnapshot(const std::string &name) = 0;

    // Removes every file, for a replica that starts with an empty disk after it lost its data.
    // Errors: Unavailable.
    virtual core::status discardAll() = 0;
};

// Opens the store of one folder. It is called again after a failure, once the earlier store is
// destroyed.
using store_opener = std::function<core::result<std::unique_ptr<store>>()>;

} // namespace jackdawweir::storage
