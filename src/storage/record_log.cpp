#include "storage/record_log.h"

#include <utility>

#include <absl/strings/str_cat.h>

namespace jackdawweir::storage::internal {

namespace {

core::status checkSize(std::string_view record)
{
    if (record.size() > maxRecordBytes) {
        return core::error{core::error_code::ResourceExhausted,
                           "append-record",
                           "",
                           absl::StrCat("record of ", record.size(), " bytes is too large")};
    }
    return core::okStatus();
}

} // namespace

record_log::record_log(raw_folder &folder,
                       failure_latch &latch,
                       std::string name,
                       std::unique_ptr<raw_file> file,
                       std::vector<std::uint64_t> ends,
                       synced_slot slot)
    : m_folder(folder)
    , m_latch(latch)
    , m_name(std::move(name))
    , m_file(std::move(file))
    , m_ends(std::move(ends))
    , m_slot(slot)
{
}

core::status record_log::append(std::string_view record)
{
    if (core::status checked = checkSize(record); !core::isOk(checked)) {
        return checked;
    }
    const std::string bytes = encodeRecord(m_ends.size(), record);
    const std::uint64_t offset = end();
    core::status written = m_latch.run([&] { return m_file->write(offset, bytes); });
    if (core::isOk(written)) {
        m_ends.push_back(offset + bytes.size());
    }
    return written;
}

core::status record_log::sync()
{
    return m_latch.run([this]() -> core::status {
        if (core::status synced = m_file->sync(); !core::isOk(synced)) {
            return synced;
        }
        return writeSlot(end());
    });
}

core::status record_log::truncateTail(std::uint64_t kept)
{
    if (kept > m_ends.size()) {
        return core::error{core::error_code::InvalidArgument,
                           "truncate-tail",
                           "",
                           absl::StrCat("log holds fewer than ", kept, " records")};
    }
    const std::uint64_t offset = kept == 0 ? firstRecordOffset : m_ends[kept - 1];
    core::status truncated = m_latch.run([this, offset] { return truncateAt(offset); });
    if (core::isOk(truncated)) {
        m_ends.resize(kept);
    }
    return truncated;
}

core::status record_log::rewrite(const std::vector<std::string> &records)
{
    for (const std::string &record : records) {
        if (core::status checked = checkSize(record); !core::isOk(checked)) {
            return checked;
        }
    }
    const std::string bytes = encodeFile(records);
    core::status replaced = m_latch.run([this, &bytes] { return replaceAll(bytes); });
    if (core::isOk(replaced)) {
        m_ends = scanRecords(bytes).ends;
        m_slot = synced_slot{1, bytes.size()};
    }
    return replaced;
}

core::result<std::vector<std::string>> record_log::readAll()
{
    core::result<std::optional<std::string>> bytes
        = m_latch.run([this] { return m_folder.read(m_name); });
    if (const core::error *failure = core::errorIn(bytes)) {
        return *failure;
    }
    scanned_file scanned = scanRecords(core::valueIn(bytes).value_or(std::string()));
    if (scanned.records.size() != m_ends.size()) {
        return core::error{core::error_code::DataLoss, "read-log", "", scanned.damage};
    }
    return std::move(scanned.records);
}

std::uint64_t record_log::recordCount() const
{
    return m_ends.size();
}

std::uint64_t record_log::end() const
{
    return m_ends.empty() ? firstRecordOffset : m_ends.back();
}

core::status record_log::writeSlot(std::uint64_t syncedEnd)
{
    m_slot = synced_slot{m_slot.sequence + 1, syncedEnd};
    return m_file->write(slotOffset(m_slot), encodeSlot(m_slot));
}

// Lowers the synced end in both slots and syncs them before it truncates the file, because a crash
// in between must not leave a slot that declares removed records as synced.
core::status record_log::truncateAt(std::uint64_t offset)
{
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        const std::uint64_t syncedEnd = std::min(m_slot.syncedEnd, offset);
        if (core::status written = writeSlot(syncedEnd); !core::isOk(written)) {
            return written;
        }
    }
    if (core::status synced = m_file->sync(); !core::isOk(synced)) {
        return synced;
    }
    if (core::status truncated = m_file->truncate(offset); !core::isOk(truncated)) {
        return truncated;
    }
    return m_file->sync();
}

core::status record_log::replaceAll(const std::string &bytes)
{
    if (core::status replaced = m_folder.replace(m_name, bytes); !core::isOk(replaced)) {
        return replaced;
    }
    core::result<std::unique_ptr<raw_file>> opened = m_folder.open(m_name);
    if (const core::error *failure = core::errorIn(opened)) {
        return *failure;
    }
    m_file = core::valueIn(std::move(opened));
    return core::okStatus();
}

} // namespace jackdawweir::storage::internal
