// The format of a log file: two slots that each store the offset up to which the file was synced,
// followed by the records.
//
// Each sync of the file is followed by a write to one of the slots in turn, so that a torn write
// leaves the other slot valid. The slot itself is not synced; after a power failure the newest
// valid slot is at most one sync behind the synced part of the file.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawweir/storage/store.h"

namespace jackdawweir::storage::internal {

constexpr std::size_t slotBytes = 32;
constexpr std::size_t slotCount = 2;
constexpr std::uint64_t firstRecordOffset = slotBytes * slotCount;

struct synced_slot {
    std::uint64_t sequence = 0;
    std::uint64_t syncedEnd = firstRecordOffset;
};

std::string encodeSlot(const synced_slot &slot);

// Returns the offset of the slot in the file.
std::uint64_t slotOffset(const synced_slot &slot);

// Returns the valid slot with the highest sequence, or nothing when both slots are damaged.
std::optional<synced_slot> readNewestSlot(std::string_view file);

// Returns the header and the bytes of a record. The checksum includes the index, so that a record
// at a wrong position is detected.
std::string encodeRecord(std::uint64_t index, std::string_view record);

// Returns the content of a log file in which all records are synced.
std::string encodeFile(const std::vector<std::string> &records);

struct scanned_file {
    std::vector<std::string> records;
    // The end offset of each record.
    std::vector<std::uint64_t> ends;
    std::uint64_t validEnd = firstRecordOffset;
    // Why the scan stopped before the end of the file; empty when it did not.
    std::string damage;
};

// Reads records up to the first damaged one.
scanned_file scanRecords(std::string_view file);

} // namespace jackdawweir::storage::internal
