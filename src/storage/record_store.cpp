#include "storage/record_store.h"

#include <utility>

#include <absl/strings/str_cat.h>

#include "jackdawweir/core/digest.h"
#include "jackdawweir/wire/codec.h"
#include "storage/record_format.h"
#include "storage/record_log.h"

namespace jackdawweir::storage::internal {

namespace {

// The content of a snapshot file; `checksum` covers `bytes`.
struct snapshot_file {
    std::uint64_t checksum = 0;
    std::string bytes;

    MSGPACK_DEFINE_ARRAY(checksum, bytes)
};

std::string logFileName(const std::string &name)
{
    return name + ".log";
}

std::string snapshotFileName(const std::string &name)
{
    return name + ".snapshot";
}

core::error dataLossError(const char *step, const std::string &file, const std::string &what)
{
    return core::error{core::error_code::DataLoss, step, "", absl::StrCat(file, ": ", what)};
}

} // namespace

record_store::record_store(std::unique_ptr<raw_folder> folder)
    : m_folder(std::move(folder))
{
}

core::result<std::string> record_store::readOrCreate(const std::string &file)
{
    core::result<std::optional<std::string>> found
        = m_latch.run([&] { return m_folder->read(file); });
    if (const core::error *failure = core::errorIn(found)) {
        return *failure;
    }
    if (core::valueIn(found)) {
        return *core::valueIn(std::move(found));
    }
    const std::string empty = encodeFile({});
    const core::status created = m_latch.run([&] { return m_folder->replace(file, empty); });
    if (const core::error *failure = core::errorIn(created)) {
        return *failure;
    }
    return empty;
}

core::result<opened_log> record_store::openLog(const std::string &name)
{
    const std::string file = logFileName(name);
    const core::result<std::string> read = readOrCreate(file);
    if (const core::error *failure = core::errorIn(read)) {
        return *failure;
    }
    const std::string &bytes = core::valueIn(read);
    const std::optional<synced_slot> slot = readNewestSlot(bytes);
    if (!slot) {
        return dataLossError("open-log", file, "file header is damaged");
    }
    scanned_file scanned = scanRecords(bytes);
    if (scanned.validEnd < slot->syncedEnd) {
        return dataLossError("open-log",
                             file,
                             scanned.damage.empty() ? "synced records are missing"
                                                    : scanned.damage);
    }
    core::result<std::unique_ptr<raw_file>> opened
        = m_latch.run([&] { return m_folder->open(file); });
    if (const core::error *failure = core::errorIn(opened)) {
        return *failure;
    }
    opened_log log;
    log.file = std::make_unique<record_log>(
        *m_folder, m_latch, file, core::valueIn(std::move(opened)), scanned.ends, *slot);
    log.records = std::move(scanned.records);
    if (!scanned.damage.empty()) {
        log.discardedTail = discarded_tail{bytes.size() - scanned.validEnd, scanned.damage};
    }
    const core::status durable = makeDurable(log, scanned.validEnd > slot->syncedEnd);
    if (const core::error *failure = core::errorIn(durable)) {
        return *failure;
    }
    return log;
}

// Syncs even when nothing was removed: records that a crash left unsynced must be durable once they
// have been returned. Records whose sync failed are written again, since a repeated sync may report
// success for data that the operating system has dropped.
core::status record_store::makeDurable(opened_log &log, bool hasUnsynced)
{
    if (hasUnsynced) {
        return log.file->rewrite(log.records);
    }
    return log.discardedTail ? log.file->truncateTail(log.records.size()) : log.file->sync();
}

core::status record_store::writeSnapshot(const std::string &name, std::string_view bytes)
{
    const snapshot_file written{core::checksumOf(bytes), std::string(bytes)};
    return m_latch.run(
        [&] { return m_folder->replace(snapshotFileName(name), wire::encodeValue(written)); });
}

core::result<std::optional<std::string>> record_store::readSnapshot(const std::string &name)
{
    const std::string file = snapshotFileName(name);
    core::result<std::optional<std::string>> found
        = m_latch.run([&] { return m_folder->read(file); });
    if (core::errorIn(found) != nullptr || !core::valueIn(found)) {
        return found;
    }
    core::result<snapshot_file> decoded = wire::decodeValue<snapshot_file>(*core::valueIn(found));
    if (const core::error *failure = core::errorIn(decoded)) {
        return dataLossError("read-snapshot", file, failure->message);
    }
    snapshot_file &read = std::get<0>(decoded);
    if (core::checksumOf(read.bytes) != read.checksum) {
        return dataLossError("read-snapshot", file, "snapshot does not match its checksum");
    }
    return std::optional<std::string>(std::move(read.bytes));
}

core::status record_store::discardAll()
{
    return m_latch.run([this] { return m_folder->removeAll(); });
}

} // namespace jackdawweir::storage::internal
