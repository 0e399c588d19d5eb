#include "jackdawweir/storage/file_store.h"
#include "jackdawweir/storage/memory_store.h"

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace jackdawweir::storage {

namespace {

using records = std::vector<std::string>;

constexpr const char *logName = "journal";
constexpr const char *logFile = "journal.log";

opened_log openLog(store &files)
{
    core::result<opened_log> opened = files.openLog(logName);
    CPPUNIT_ASSERT(core::isOk(opened));
    return core::valueIn(std::move(opened));
}

void write(log_file &log, const records &written)
{
    for (const std::string &each : written) {
        CPPUNIT_ASSERT(core::isOk(log.append(each)));
    }
}

// Returns the records that a restarted process reads from the disk.
records recordsAfterRestart(memory_disk &disk)
{
    const auto files = openMemoryStore(disk);
    return openLog(*files).records;
}

core::error_code openError(memory_disk &disk)
{
    const core::result<opened_log> opened = openMemoryStore(disk)->openLog(logName);
    CPPUNIT_ASSERT_MESSAGE("expected an error", core::errorIn(opened) != nullptr);
    return core::errorIn(opened)->code;
}

// A data folder that the destructor removes.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "jackdawweir-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(pattern.data()) != nullptr);
        m_path = pattern;
    }
    temporary_folder(const temporary_folder &) = delete;
    temporary_folder &operator=(const temporary_folder &) = delete;
    ~temporary_folder()
    {
        std::filesystem::remove_all(m_path);
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

std::unique_ptr<store> openFiles(const std::string &folder)
{
    core::result<std::unique_ptr<store>> opened = openFileStore(folder);
    CPPUNIT_ASSERT(core::isOk(opened));
    return core::valueIn(std::move(opened));
}

} // namespace

class record_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(record_store_test);
    CPPUNIT_TEST(keepsSyncedRecordsAcrossCrashes);
    CPPUNIT_TEST(removesTornTailAndReportsIt);
    CPPUNIT_TEST(reportsFlippedSyncedBitAsDataLoss);
    CPPUNIT_TEST(reportsTruncatedSyncedEndAsDataLoss);
    CPPUNIT_TEST(reportsDamagedSnapshotAsDataLoss);
    CPPUNIT_TEST(refusesFurtherOperationsAfterFailedSync);
    CPPUNIT_TEST(refusesFurtherOperationsAfterFailedWrite);
    CPPUNIT_TEST(keepsRecordsThatItReturnedAfterAFailedSync);
    CPPUNIT_TEST(opensAgainOnceAFullDiskHasSpace);
    CPPUNIT_TEST(truncatesTailDurably);
    CPPUNIT_TEST(rewritesLogAtomically);
    CPPUNIT_TEST(rollsBackToEarlierSyncedState);
    CPPUNIT_TEST(keepsRecordsInRealFiles);
    CPPUNIT_TEST(removesDamagedTailOfRealFile);
    CPPUNIT_TEST(refusesSecondProcessOnOneFolder);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a crash that loses synced records, and against a torn tail that is read as
    // records, for any mix of synced and unsynced records.
    void keepsSyncedRecordsAcrossCrashes()
    {
        test::checkProperty("synced records survive crashes",
                            [](const records &synced, const records &torn) {
                                memory_disk disk;
                                {
                                    const auto files = openMemoryStore(disk);
                                    const opened_log log = openLog(*files);
                                    write(*log.file, synced);
                                    RC_ASSERT(core::isOk(log.file->sync()));
                                    write(*log.file, torn);
                                }
                                disk.crash(*rc::gen::inRange<std::size_t>(0, 200));
                                const records read = recordsAfterRestart(disk);
                                RC_ASSERT(read.size() >= synced.size());
                                records expected = synced;
                                expected.insert(expected.end(), torn.begin(), torn.end());
                                expected.resize(read.size());
                                RC_ASSERT(read == expected);
                                RC_ASSERT(recordsAfterRestart(disk) == read);
                            });
    }

    // Guards against a partly written record that is returned or that prevents a restart.
    void removesTornTailAndReportsIt()
    {
        memory_disk disk;
        {
            const auto files = openMemoryStore(disk);
            const opened_log log = openLog(*files);
            write(*log.file, {"first"});
            CPPUNIT_ASSERT(core::isOk(log.file->sync()));
            write(*log.file, {"second"});
        }
        disk.crash(15);
        const auto files = openMemoryStore(disk);
        const opened_log log = openLog(*files);
        CPPUNIT_ASSERT(log.records == records{"first"});
        CPPUNIT_ASSERT(log.discardedTail.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, log.discardedTail->bytes);
        write(*log.file, {"third"});
        CPPUNIT_ASSERT(core::valueIn(log.file->readAll()) == (records{"first", "third"}));
    }

    // Guards against a damaged synced vote or entry that is silently removed like a torn tail.
    void reportsFlippedSyncedBitAsDataLoss()
    {
        memory_disk disk = diskWithSynced({"first", "second", "third"});
        const std::size_t size = disk.files().at(logFile).bytes.size();
        for (std::size_t offset = 64; offset < size; ++offset) {
            memory_disk damaged = disk;
            damaged.flipBit(logFile, offset);
            CPPUNIT_ASSERT(openError(damaged) == core::error_code::DataLoss);
        }
    }

    // Guards against a shortened file whose missing synced records go unnoticed.
    void reportsTruncatedSyncedEndAsDataLoss()
    {
        memory_disk disk = diskWithSynced({"first", "second"});
        disk.truncateFile(logFile, 1);
        CPPUNIT_ASSERT(openError(disk) == core::error_code::DataLoss);
    }

    // Guards against restoring a damaged snapshot.
    void reportsDamagedSnapshotAsDataLoss()
    {
        memory_disk disk;
        const auto files = openMemoryStore(disk);
        CPPUNIT_ASSERT(core::isOk(files->writeSnapshot("state", "snapshot bytes")));
        CPPUNIT_ASSERT(core::valueIn(files->readSnapshot("state")) == "snapshot bytes");
        for (std::size_t offset = 0; offset < disk.files().at("state.snapshot").bytes.size();
             ++offset) {
            memory_disk damaged = disk;
            damaged.flipBit("state.snapshot", offset);
            const auto read = openMemoryStore(damaged)->readSnapshot("state");
            CPPUNIT_ASSERT(core::errorIn(read) != nullptr);
            CPPUNIT_ASSERT(core::errorIn(read)->code == core::error_code::DataLoss);
        }
    }

    // Guards against a retried sync that reports success although the operating system dropped the
    // data of the failed one.
    void refusesFurtherOperationsAfterFailedSync()
    {
        memory_disk disk;
        const auto files = openMemoryStore(disk);
        const opened_log log = openLog(*files);
        write(*log.file, {"first"});
        disk.failNextSync();
        CPPUNIT_ASSERT(!core::isOk(log.file->sync()));
        assertRefuses(*files, *log.file);
    }

    // Guards against records that are appended after the gap left by a failed write.
    void refusesFurtherOperationsAfterFailedWrite()
    {
        memory_disk disk;
        const auto files = openMemoryStore(disk);
        const opened_log log = openLog(*files);
        disk.failNextWrite();
        CPPUNIT_ASSERT(!core::isOk(log.file->append("first")));
        assertRefuses(*files, *log.file);
    }

    // Guards against truncated records that reappear after a crash or that are reported as
    // DataLoss.
    // Guards against a record that is read from the cache of the operating system after its sync
    // failed, and is lost at the next power failure.
    void keepsRecordsThatItReturnedAfterAFailedSync()
    {
        memory_disk disk;
        {
            const auto files = openMemoryStore(disk);
            const opened_log log = openLog(*files);
            write(*log.file, {"first"});
            CPPUNIT_ASSERT(core::isOk(log.file->sync()));
            write(*log.file, {"second"});
            disk.failNextSync();
            CPPUNIT_ASSERT(!core::isOk(log.file->sync()));
        }
        const records returned = recordsAfterRestart(disk);
        disk.crash();
        CPPUNIT_ASSERT(recordsAfterRestart(disk) == returned);
    }

    void opensAgainOnceAFullDiskHasSpace()
    {
        memory_disk disk;
        {
            const auto files = openMemoryStore(disk);
            const opened_log log = openLog(*files);
            write(*log.file, {"first"});
            CPPUNIT_ASSERT(core::isOk(log.file->sync()));
            disk.setFull(true);
            CPPUNIT_ASSERT(!core::isOk(log.file->append("second")));
        }
        disk.setFull(false);
        CPPUNIT_ASSERT(recordsAfterRestart(disk) == records{"first"});
    }

    void truncatesTailDurably()
    {
        memory_disk disk;
        {
            const auto files = openMemoryStore(disk);
            const opened_log log = openLog(*files);
            write(*log.file, {"first", "second", "third"});
            CPPUNIT_ASSERT(core::isOk(log.file->sync()));
            CPPUNIT_ASSERT(core::isOk(log.file->truncateTail(1)));
            CPPUNIT_ASSERT(!core::isOk(log.file->truncateTail(2)));
        }
        disk.crash();
        CPPUNIT_ASSERT(recordsAfterRestart(disk) == records{"first"});
    }

    // Guards against a log compaction that leaves a mix of old and new records.
    void rewritesLogAtomically()
    {
        memory_disk disk;
        {
            const auto files = openMemoryStore(disk);
            const opened_log log = openLog(*files);
            write(*log.file, {"first", "second"});
            CPPUNIT_ASSERT(core::isOk(log.file->rewrite({"kept"})));
            write(*log.file, {"next"});
            CPPUNIT_ASSERT(core::isOk(log.file->sync()));
        }
        disk.crash();
        CPPUNIT_ASSERT(recordsAfterRestart(disk) == (records{"kept", "next"}));
    }

    // Guards against memory_disk::rollBack restoring a state that was never synced.
    void rollsBackToEarlierSyncedState()
    {
        memory_disk disk = diskWithSynced({"first"});
        {
            const auto files = openMemoryStore(disk);
            const opened_log log = openLog(*files);
            write(*log.file, {"second"});
            CPPUNIT_ASSERT(core::isOk(log.file->sync()));
        }
        disk.rollBack(1);
        CPPUNIT_ASSERT(recordsAfterRestart(disk) == records{"first"});
    }

    // Guards against differences between the file store and the in-memory store that tests use.
    void keepsRecordsInRealFiles()
    {
        const temporary_folder folder;
        {
            const auto files = openFiles(folder.path());
            const opened_log log = openLog(*files);
            write(*log.file, {"first", std::string(100'000, 'x'), ""});
            CPPUNIT_ASSERT(core::isOk(log.file->sync()));
            CPPUNIT_ASSERT(core::isOk(log.file->truncateTail(2)));
            CPPUNIT_ASSERT(core::isOk(files->writeSnapshot("state", "bytes")));
        }
        const auto files = openFiles(folder.path());
        CPPUNIT_ASSERT(openLog(*files).records == (records{"first", std::string(100'000, 'x')}));
        CPPUNIT_ASSERT(core::valueIn(files->readSnapshot("state")) == "bytes");
        CPPUNIT_ASSERT(core::isOk(files->discardAll()));
        CPPUNIT_ASSERT(openLog(*files).records.empty());
    }

    // Guards against a torn tail in a file on disk that prevents a restart.
    void removesDamagedTailOfRealFile()
    {
        const temporary_folder folder;
        {
            const auto files = openFiles(folder.path());
            const opened_log log = openLog(*files);
            write(*log.file, {"first"});
            CPPUNIT_ASSERT(core::isOk(log.file->sync()));
        }
        std::ofstream(folder.path() + "/" + logFile, std::ios::app) << "torn";
        const auto files = openFiles(folder.path());
        const opened_log log = openLog(*files);
        CPPUNIT_ASSERT(log.records == records{"first"});
        CPPUNIT_ASSERT(log.discardedTail.has_value());
    }

    // Guards against two daemons that write to the same log file.
    void refusesSecondProcessOnOneFolder()
    {
        const temporary_folder folder;
        const auto files = openFiles(folder.path());
        CPPUNIT_ASSERT(!core::isOk(openFileStore(folder.path())));
    }

private:
    static memory_disk diskWithSynced(const records &synced)
    {
        memory_disk disk;
        const auto files = openMemoryStore(disk);
        const opened_log log = openLog(*files);
        write(*log.file, synced);
        CPPUNIT_ASSERT(core::isOk(log.file->sync()));
        return disk;
    }

    static void assertRefuses(store &files, log_file &log)
    {
        CPPUNIT_ASSERT(!core::isOk(log.append("second")));
        CPPUNIT_ASSERT(!core::isOk(log.sync()));
        CPPUNIT_ASSERT(!core::isOk(log.truncateTail(0)));
        CPPUNIT_ASSERT(!core::isOk(log.rewrite({})));
        CPPUNIT_ASSERT(!core::isOk(files.writeSnapshot("state", "bytes")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_store_test);

} // namespace jackdawweir::storage
