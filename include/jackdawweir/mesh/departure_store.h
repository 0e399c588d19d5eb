// Keeps the departures of a source on its disk, so that they outlive a restart of all processes.
// They are stored apart from the replicated log: a departure is acknowledged also while there is no
// majority of sources.
//
//     departure_store store([folder] { return storage::openFileStore(folder); });
//     core::result<fleet::departed_servers> stored = store.load();
//     core::status saved = store.save(directory.departed(now));

#pragma once

#include <memory>

#include "jackdawweir/core/error.h"
#include "jackdawweir/fleet/records.h"
#include "jackdawweir/storage/store.h"

namespace jackdawweir::mesh {

class departure_store
{
public:
    // Opens the files at the first call that needs them, and again after a failure.
    explicit departure_store(storage::store_opener opener);

    // Returns the departures that were last saved, and none if none were. Errors: DataLoss if the
    // file is damaged; Unavailable.
    core::result<fleet::departed_servers> load();

    // Replaces the stored departures, durably. A later call may succeed after one that failed, for
    // example once a full disk has space again. Errors: Unavailable.
    core::status save(const fleet::departed_servers &departedServers);

    // Returns whether the stored departures are all that this source was asked to store; false if
    // the files were lost. Errors: Unavailable.
    core::result<bool> loadCompleteness();

    // Stores, durably, whether the departures are complete. Errors: Unavailable.
    core::status saveCompleteness(bool isComplete);

private:
    core::status open();
    core::status write(const char *name, const std::string &bytes);

    storage::store_opener m_opener;
    // Empty before the first use and after a failure, since a store refuses everything after one.
    std::unique_ptr<storage::store> m_files;
};

} // namespace jackdawweir::mesh
