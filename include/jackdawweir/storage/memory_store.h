// An in-memory store for tests. A memory_disk can be opened again after its store was destroyed,
// which simulates a process restart:
//
//     memory_disk disk;
//     auto files = openMemoryStore(disk);
//     ...
//     files.reset();
//     disk.crash(3);          // keeps at most three unsynced bytes of each file
//     files = openMemoryStore(disk);

#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jackdawweir/storage/store.h"

namespace jackdawweir::storage {

// A simulated data folder with fault injection.
class memory_disk
{
public:
    struct file {
        std::string bytes;
        // The content as of the last sync, which every crash preserves.
        std::string syncedBytes;
        // True after a failed sync: the operating system may have dropped what was written, and
        // later syncs report success without making it durable.
        bool isDropped = false;
    };
    using folder = std::map<std::string, file>;

    // Makes the next write (or sync) fail once.
    void failNextWrite();
    void failNextSync();
    // Makes all writes fail while the disk is full, after `freeBytes` more bytes. The write that
    // exceeds them stores its first bytes.
    void setFull(bool isFull, std::size_t freeBytes = 0);
    // Cancels injected faults that have not occurred yet.
    void clearFaults();

    // Drops the unsynced tail of each file except for its first `unsyncedKept` bytes.
    void crash(std::size_t unsyncedKept = 0);

    // Restores the folder as it was `syncs` completed syncs ago, or the oldest state that is kept.
    void rollBack(std::size_t syncs);

    // Flips one bit of a file, whether synced or not.
    void flipBit(const std::string &name, std::size_t byteOffset);

    // Removes the last `bytes` bytes of a file, whether synced or not.
    void truncateFile(const std::string &name, std::size_t bytes);

    // Removes all files and all earlier states, as when the disk is replaced by an empty one.
    void eraseAll();

    const folder &files() const;

    // Used by the store that runs on this disk. takeSpace returns how many bytes of a write of this
    // size are stored. consumeSyncFault returns true once for each injected fault.
    std::size_t takeSpace(std::size_t size);
    bool consumeSyncFault();
    folder &mutableFiles();
    void saveSyncedState();

private:
    folder m_files;
    std::vector<folder> m_syncedStates;
    bool m_isFull = false;
    std::size_t m_freeBytes = 0;
    bool m_writeFault = false;
    bool m_syncFault = false;
};

std::unique_ptr<store> openMemoryStore(memory_disk &disk);

} // namespace jackdawweir::storage
