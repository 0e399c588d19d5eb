// Implements store on the raw files of one data folder.

#pragma once

#include <memory>
#include <string>
#include <utility>

#include "jackdawweir/storage/store.h"
#include "storage/raw_folder.h"

namespace jackdawweir::storage::internal {

// Records a failed operation on a data folder. The store and its log files share the latch, so
// that all of them refuse further operations.
class failure_latch
{
public:
    // Runs a file operation unless an earlier one failed.
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
    static core::status makeDurable(opened_log &log, bool hasUnsynced);

    std::unique_ptr<raw_folder> m_folder;
    failure_latch m_latch;
};

} // namespace jackdawweir::storage::internal
