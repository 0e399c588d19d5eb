// Implements log_file on a raw file in the format of record_format.h.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "storage/raw_folder.h"
#include "storage/record_format.h"
#include "storage/record_store.h"

namespace jackdawweir::storage::internal {

class record_log final : public log_file
{
public:
    // `ends` holds the end offset of each record in the file.
    record_log(raw_folder &folder,
               failure_latch &latch,
               std::string name,
               std::unique_ptr<raw_file> file,
               std::vector<std::uint64_t> ends,
               synced_slot slot);

    core::status append(std::string_view record) override;
    core::status sync() override;
    core::status truncateTail(std::uint64_t kept) override;
    core::status rewrite(const std::vector<std::string> &records) override;
    core::result<std::vector<std::string>> readAll() override;
    std::uint64_t recordCount() const override;

private:
    std::uint64_t end() const;
    core::status writeSlot(std::uint64_t syncedEnd);
    core::status truncateAt(std::uint64_t offset);
    core::status replaceAll(const std::string &bytes);

    raw_folder &m_folder;
    failure_latch &m_latch;
    std::string m_name;
    std::unique_ptr<raw_file> m_file;
    std::vector<std::uint64_t> m_ends;
    synced_slot m_slot;
};

} // namespace jackdawweir::storage::internal
