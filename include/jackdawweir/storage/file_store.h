// The store with real files.
//
//     core::result<std::unique_ptr<store>> opened = openFileStore("/var/lib/jackdawweir");

#pragma once

#include <memory>
#include <string>

#include "jackdawweir/core/error.h"
#include "jackdawweir/storage/store.h"

namespace jackdawweir::storage {

// Opens the data folder and creates it where it is missing. Errors: Unavailable.
core::result<std::unique_ptr<store>> openFileStore(const std::string &folder);

} // namespace jackdawweir::storage
