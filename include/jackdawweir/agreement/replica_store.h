// Writes persist effects to a storage::store and reads the stored state back at a start.
//
//     core::result<std::unique_ptr<replica_store>> opened = replica_store::open(files);
//     // DataLoss: the disk is lost; call files.discardAll() and open again.
//     replica self(settings, core::valueIn(opened)->takeStored(), engine);

#pragma once

#include <memory>
#include <optional>

#include "jackdawweir/agreement/effect.h"
#include "jackdawweir/agreement/entry.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/core/random.h"
#include "jackdawweir/storage/store.h"

namespace jackdawweir::agreement {

class replica_store
{
public:
    // Errors: DataLoss if the disk is lost; Unavailable.
    static core::result<std::unique_ptr<replica_store>> open(storage::store &files);

    // Moves out the state that was stored when the store was opened.
    stored_state takeStored();

    // Returns the unsynced tail that was discarded at the start, to be logged.
    const std::optional<storage::discarded_tail> &discardedLogTail() const;

    // Writes one effect, which is durable after sync(). Errors: Unavailable, after which the caller
    // must call replica::persistFailed.
    core::status write(const persist &batch);
    core::status sync();

private:
    replica_store(storage::store &files, storage::opened_log log, stored_state stored);

    storage::store &m_files;
    std::unique_ptr<storage::log_file> m_log;
    std::optional<storage::discarded_tail> m_discardedTail;
    stored_state m_stored;
};

// Makes the replica of an empty data folder the only voter (`jackdawweir init`). Errors:
// InvalidArgument if the folder is not empty; Unavailable.
core::status
initialise(storage::store &files, const core::endpoint &address, core::random_engine &engine);

} // namespace jackdawweir::agreement
