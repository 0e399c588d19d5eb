// The bytes of a log file: two slots that each say up to where the file was synced, then records.
//
// The slots are written in turn after each sync, without a sync of their own, so that a torn slot
// leaves the other. They understate the synced part by one sync at most after a loss of power.

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

// Returns where in the file the slot is kept.
std::uint64_t slotOffset(const synced_slot &slot);

// Returns the newest valid slot, or nothing where both are damaged.
std::optional<synced_slot> readNewestSlot(std::string_view file);

// Returns the bytes of a record. The index is part of the checksum, so that a record is not taken
// for another one.
std::string encodeRecord(std::uint64_t index, std::string_view record);

// Returns a whole file of synced records.
std::string encodeFile(const std::vector<std::string> &records);

struct scanned_file {
    std::vector<std::string> records;
    // The offset after each record.
    std::vector<std::uint64_t> ends;
    std::uint64_t validEnd = firstRecordOffset;
    // What ended the scan before the end of the file; empty where nothing did.
    std::string damage;
};

// Reads records up to the first damaged one.
scanned_file scanRecords(std::string_view file);

} // namespace jackdawweir::storage::internal
