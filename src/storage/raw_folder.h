// Interface to the files of a data folder without the record format. It is implemented for the file
// system (file_store.cpp) and for memory_disk (memory_store.cpp).

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawweir/core/error.h"

namespace jackdawweir::storage::internal {

class raw_file
{
public:
    raw_file() = default;
    raw_file(const raw_file &) = delete;
    raw_file &operator=(const raw_file &) = delete;
    virtual ~raw_file() = default;

    virtual core::status write(std::uint64_t offset, std::string_view bytes) = 0;
    virtual core::status sync() = 0;
    virtual core::status truncate(std::uint64_t size) = 0;
};

class raw_folder
{
public:
    raw_folder() = default;
    raw_folder(const raw_folder &) = delete;
    raw_folder &operator=(const raw_folder &) = delete;
    virtual ~raw_folder() = default;

    virtual core::result<std::unique_ptr<raw_file>> open(const std::string &name) = 0;

    // Replaces the whole file atomically and durably.
    virtual core::status replace(const std::string &name, std::string_view bytes) = 0;

    // Returns nothing when the file does not exist.
    virtual core::result<std::optional<std::string>> read(const std::string &name) = 0;

    virtual core::status removeAll() = 0;
};

} // namespace jackdawweir::storage::internal
