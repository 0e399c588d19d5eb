// A store in memory for tests. The disk outlives the store, as a real disk outlives a process:
//
//     memory_disk disk;
//     auto files = openMemoryStore(disk);
//     ...
//     files.reset();
//     disk.crash(3);          // the process ended; three unsynced bytes of each file are left
//     files = openMemoryStore(disk);

#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jackdawweir/storage/store.h"

namespace jackdawweir::storage {

// The bytes of a data folder, with faults to order.
class memory_disk
{
public:
    struct file {
        std::string bytes;
        // What a crash leaves at least.
        std::string syncedBytes;
    };
    using folder = std::map<std::string, file>;

    // The next write (or sync) fails once.
    void failNextWrite();
    void failNextSync();
    // Forgets faults that were ordered but have not come up.
    void clearFaults();

    // Loses what was not synced but for the first `unsyncedKept` bytes of each file's tail.
    void crash(std::size_t unsyncedKept = 0);

    // Returns to the folder as it was `syncs` completed syncs ago (or to the oldest one kept).
    void rollBack(std::size_t syncs);

    // Flips one bit of the file's bytes, synced or not.
    void flipBit(const std::string &name, std::size_t byteOffset);

    // Removes the last bytes of a file, synced or not.
    void chop(const std::string &name, std::size_t bytes);

    // Empties the disk.
    void eraseAll();

    const folder &files() const;

    // For the store that runs on this disk.
    bool takeWriteFault();
    bool takeSyncFault();
    folder &mutableFiles();
    void recordSync();

private:
    folder m_files;
    std::vector<folder> m_syncedStates;
    bool m_writeFault = false;
    bool m_syncFault = false;
};

std::unique_ptr<store> openMemoryStore(memory_disk &disk);

} // namespace jackdawweir::storage
