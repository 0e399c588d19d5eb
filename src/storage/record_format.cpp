#include "storage/record_format.h"

#include <cstring>

#include "jackdawweir/core/digest.h"

namespace jackdawweir::storage::internal {

namespace {

constexpr std::size_t lengthBytes = sizeof(std::uint32_t);
constexpr std::size_t checksumBytes = sizeof(std::uint64_t);
constexpr std::size_t recordHeaderBytes = lengthBytes + checksumBytes;

template<typename Integer>
void appendInteger(std::string &out, Integer value)
{
    for (std::size_t byte = 0; byte < sizeof(Integer); ++byte) {
        out.push_back(static_cast<char>((value >> (8 * byte)) & 0xffU));
    }
}

template<typename Integer>
Integer readInteger(std::string_view bytes)
{
    Integer value = 0;
    for (std::size_t byte = 0; byte < sizeof(Integer); ++byte) {
        value |= static_cast<Integer>(static_cast<unsigned char>(bytes[byte])) << (8 * byte);
    }
    return value;
}

std::uint64_t recordChecksum(std::uint64_t index, std::string_view record)
{
    std::string checked;
    checked.reserve(sizeof(index) + record.size());
    appendInteger(checked, index);
    checked.append(record);
    return core::checksumOf(checked);
}

std::optional<synced_slot> readSlot(std::string_view bytes)
{
    synced_slot slot;
    slot.sequence = readInteger<std::uint64_t>(bytes);
    slot.syncedEnd = readInteger<std::uint64_t>(bytes.substr(8));
    if (encodeSlot(slot) != bytes) {
        return std::nullopt;
    }
    return slot;
}

} // namespace

std::string encodeSlot(const synced_slot &slot)
{
    std::string bytes;
    appendInteger(bytes, slot.sequence);
    appendInteger(bytes, slot.syncedEnd);
    appendInteger(bytes, core::checksumOf(bytes));
    bytes.resize(slotBytes);
    return bytes;
}

std::uint64_t slotOffset(const synced_slot &slot)
{
    return (slot.sequence % slotCount) * slotBytes;
}

std::optional<synced_slot> readNewestSlot(std::string_view file)
{
    std::optional<synced_slot> newest;
    for (std::size_t index = 0; index < slotCount; ++index) {
        const std::size_t offset = index * slotBytes;
        if (file.size() < offset + slotBytes) {
            break;
        }
        const std::optional<synced_slot> slot = readSlot(file.substr(offset, slotBytes));
        if (slot && (!newest || slot->sequence > newest->sequence)) {
            newest = slot;
        }
    }
    return newest;
}

std::string encodeRecord(std::uint64_t index, std::string_view record)
{
    std::string bytes;
    bytes.reserve(recordHeaderBytes + record.size());
    appendInteger(bytes, static_cast<std::uint32_t>(record.size()));
    appendInteger(bytes, recordChecksum(index, record));
    bytes.append(record);
    return bytes;
}

std::string encodeFile(const std::vector<std::string> &records)
{
    std::string body;
    for (std::size_t index = 0; index < records.size(); ++index) {
        body += encodeRecord(index, records[index]);
    }
    const std::uint64_t end = firstRecordOffset + body.size();
    return encodeSlot(synced_slot{0, end}) + encodeSlot(synced_slot{1, end}) + body;
}

scanned_file scanRecords(std::string_view file)
{
    scanned_file scanned;
    std::string_view rest = file.substr(std::min<std::size_t>(file.size(), firstRecordOffset));
    while (!rest.empty()) {
        if (rest.size() < recordHeaderBytes) {
            scanned.damage = "torn record header";
            return scanned;
        }
        const auto length = readInteger<std::uint32_t>(rest);
        const auto checksum = readInteger<std::uint64_t>(rest.substr(lengthBytes));
        if (length > maxRecordBytes || rest.size() - recordHeaderBytes < length) {
            scanned.damage = "record reaches past the end of the file";
            return scanned;
        }
        const std::string_view record = rest.substr(recordHeaderBytes, length);
        if (recordChecksum(scanned.records.size(), record) != checksum) {
            scanned.damage = "record does not match its checksum";
            return scanned;
        }
        scanned.records.emplace_back(record);
        scanned.validEnd += recordHeaderBytes + length;
        scanned.ends.push_back(scanned.validEnd);
        rest.remove_prefix(recordHeaderBytes + length);
    }
    return scanned;
}

} // namespace jackdawweir::storage::internal
