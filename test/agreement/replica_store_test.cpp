#include "jackdawweir/agreement/replica_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include "jackdawweir/storage/memory_store.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::agreement {

namespace {

hard_state hardState(std::uint64_t term)
{
    return hard_state{replica_id{1}, 1, term, replica_id{2}, {boot_record{replica_id{2}, 3, 4}}};
}

std::vector<entry> entriesOfTerm(std::uint64_t term, std::uint64_t from, std::uint64_t upTo)
{
    std::vector<entry> entries;
    for (std::uint64_t index = from; index <= upTo; ++index) {
        entries.push_back(entry{term, index, entry_kind::Command, std::to_string(index)});
    }
    return entries;
}

void write(storage::store &files, const persist &batch)
{
    auto opened = replica_store::open(files);
    CPPUNIT_ASSERT(core::isOk(opened));
    CPPUNIT_ASSERT(core::isOk(core::valueIn(opened)->write(batch)));
    CPPUNIT_ASSERT(core::isOk(core::valueIn(opened)->sync()));
}

stored_state load(storage::store &files)
{
    auto opened = replica_store::open(files);
    CPPUNIT_ASSERT(core::isOk(opened));
    return core::valueIn(opened)->takeStored();
}

} // namespace

class replica_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_store_test);
    CPPUNIT_TEST(replacesEntriesFromFirstNewIndex);
    CPPUNIT_TEST(keepsWhatFollowsSnapshot);
    CPPUNIT_TEST(dropsEntriesThatDoNotContinueSnapshot);
    CPPUNIT_TEST(reportsMissingLogAsLostDisk);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against losing a vote, and against restoring an entry that was replaced.
    void replacesEntriesFromFirstNewIndex()
    {
        storage::memory_disk disk;
        const auto files = storage::openMemoryStore(disk);
        write(*files, persist{1, hardState(1), entriesOfTerm(1, 1, 5), std::nullopt});
        write(*files, persist{2, hardState(2), entriesOfTerm(2, 3, 4), std::nullopt});
        const stored_state stored = load(*files);
        CPPUNIT_ASSERT(stored.hard == hardState(2));
        std::vector<entry> expected = entriesOfTerm(1, 1, 2);
        const std::vector<entry> replaced = entriesOfTerm(2, 3, 4);
        expected.insert(expected.end(), replaced.begin(), replaced.end());
        CPPUNIT_ASSERT(stored.entries == expected);
    }

    // Guards against a restart that loses synced entries after a snapshot, also after a crash
    // between the writes of the snapshot and of the log.
    void keepsWhatFollowsSnapshot()
    {
        const snapshot taken{log_position{1, 3}, {}, "state"};
        for (const bool isLogRewritten : {true, false}) {
            storage::memory_disk disk;
            const auto files = storage::openMemoryStore(disk);
            write(*files, persist{1, hardState(1), entriesOfTerm(1, 1, 5), std::nullopt});
            if (isLogRewritten) {
                write(*files, persist{2, hardState(1), entriesOfTerm(1, 4, 5), taken});
            } else {
                CPPUNIT_ASSERT(
                    core::isOk(files->writeSnapshot("agreement", wire::encodeValue(taken))));
            }
            const stored_state stored = load(*files);
            CPPUNIT_ASSERT(stored.latestSnapshot == taken);
            CPPUNIT_ASSERT(stored.entries == entriesOfTerm(1, 4, 5));
        }
    }

    // Guards against keeping entries of a deposed leader after the snapshot of its successor, if a
    // crash occurs between the writes of the snapshot and of the log.
    void dropsEntriesThatDoNotContinueSnapshot()
    {
        storage::memory_disk disk;
        const auto files = storage::openMemoryStore(disk);
        write(*files, persist{1, hardState(1), entriesOfTerm(1, 1, 5), std::nullopt});
        const snapshot received{log_position{2, 3}, {}, "state"};
        CPPUNIT_ASSERT(core::isOk(files->writeSnapshot("agreement", wire::encodeValue(received))));
        CPPUNIT_ASSERT(load(*files).entries.empty());
    }

    // Guards against a replica that votes again as a new one after its log file was lost.
    void reportsMissingLogAsLostDisk()
    {
        storage::memory_disk disk;
        const auto files = storage::openMemoryStore(disk);
        const snapshot taken{log_position{1, 3}, {}, "state"};
        CPPUNIT_ASSERT(core::isOk(files->writeSnapshot("agreement", wire::encodeValue(taken))));
        const auto opened = replica_store::open(*files);
        CPPUNIT_ASSERT(core::errorIn(opened) != nullptr);
        CPPUNIT_ASSERT(core::errorIn(opened)->code == core::error_code::DataLoss);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_store_test);

} // namespace jackdawweir::agreement
