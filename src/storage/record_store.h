// The store over plain files.

#pragma once

#include <memory>
#include <string>
#include <utility>

#include "jackdawweir/storage/store.h"
#include "storage/raw_folder.h"

namespace jackdawweir::storage::internal {

// Remembers the first failed write or sync of a data folder, for the store and its log files alike.
class failure_latch
{
public:
    // Runs a write or sync unless one failed before.
    template<typename Operation>
    auto run(Operation &&operation) -> decltype(operation())
    {
        if (m_failed) {
            return core::error{core::error_code::Unavailable,
                               "storage",
                               "",
                               "refused after a failed write or sync"};
        }
        auto outcome = operation();
        m_failed = core::errorIn(outcome) != nullptr;
        return outcome;
    }

    bool hasFailed() const
    {
        return m_failed;
    }

private:
    bool m_failed = false;
};

class record_store final : public store
{
public:
    explicit record_store(std::unique_ptr<raw_folder> folder);

    core::result<opened_log> openLog(const std::string &name) override;
    core::status writeSnapshot(const std::string &name, std::string_view bytes) override;
    core::result<std::optional<std::string>> readSnapshot(const std::string &name) override;
    core::status discardAll() override;

private:
    core::result<std::string> readOrCreate(const std::string &file);

    std::unique_ptr<raw_folder> m_folder;
    failure_latch m_latch;
};

} // namespace jackdawweir::storage::internal
