// Opens a store on the file system.
//
//     core::result<std::unique_ptr<store>> opened = openFileStore("/var/lib/jackdawweir");

#pragma once

#include <memory>
#include <string>

#include "jackdawweir/core/error.h"
#include "jackdawweir/storage/store.h"

namespace jackdawweir::storage {

// Opens and locks the data folder, and creates it if it does not exist. Errors: Unavailable, also
// when another process has locked the folder.
core::result<std::unique_ptr<store>> openFileStore(const std::string &folder);

} // namespace jackdawweir::storage
