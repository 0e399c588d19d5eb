#include "jackdawweir/storage/memory_store.h"

#include <algorithm>
#include <utility>

#include "storage/record_store.h"

namespace jackdawweir::storage {

namespace {

// Enough for a test to roll back several changes.
constexpr std::size_t syncedStatesKept = 64;

core::error injectedError(const char *step)
{
    return core::error{core::error_code::Unavailable, step, "", "injected failure"};
}

class memory_file final : public internal::raw_file
{
public:
    memory_file(memory_disk &disk, std::string name)
        : m_disk(disk)
        , m_name(std::move(name))
    {
    }

    core::status write(std::uint64_t offset, std::string_view bytes) override
    {
        const std::size_t written = m_disk.takeSpace(bytes.size());
        std::string &stored = m_disk.mutableFiles()[m_name].bytes;
        if (written > 0) {
            stored.resize(std::max<std::size_t>(stored.size(), offset + written));
            stored.replace(offset, written, bytes.substr(0, written));
        }
        return written == bytes.size() ? core::okStatus() : injectedError("write-file");
    }

    core::status sync() override
    {
        memory_disk::file &stored = m_disk.mutableFiles()[m_name];
        if (m_disk.consumeSyncFault()) {
            stored.isDropped = true;
            return injectedError("sync-file");
        }
        if (!stored.isDropped) {
            stored.syncedBytes = stored.bytes;
        }
        m_disk.saveSyncedState();
        return core::okStatus();
    }

    core::status truncate(std::uint64_t size) override
    {
        m_disk.mutableFiles()[m_name].bytes.resize(size);
        return core::okStatus();
    }

private:
    memory_disk &m_disk;
    std::string m_name;
};

class memory_folder final : public internal::raw_folder
{
public:
    explicit memory_folder(memory_disk &disk)
        : m_disk(disk)
    {
    }

    core::result<std::unique_ptr<internal::raw_file>> open(const std::string &name) override
    {
        return std::unique_ptr<internal::raw_file>(std::make_unique<memory_file>(m_disk, name));
    }

    core::status replace(const std::string &name, std::string_view bytes) override
    {
        if (m_disk.takeSpace(bytes.size()) < bytes.size()) {
            return injectedError("write-file");
        }
        if (m_disk.consumeSyncFault()) {
            return injectedError("sync-file");
        }
        m_disk.mutableFiles()[name] = memory_disk::file{std::string(bytes), std::string(bytes)};
        m_disk.saveSyncedState();
        return core::okStatus();
    }

    core::result<std::optional<std::string>> read(const std::string &name) override
    {
        const auto found = m_disk.files().find(name);
        if (found == m_disk.files().end()) {
            return std::optional<std::string>();
        }
        return std::optional<std::string>(found->second.bytes);
    }

    core::status removeAll() override
    {
        m_disk.mutableFiles().clear();
        m_disk.saveSyncedState();
        return core::okStatus();
    }

private:
    memory_disk &m_disk;
};

} // namespace

void memory_disk::failNextWrite()
{
    m_writeFault = true;
}

void memory_disk::failNextSync()
{
    m_syncFault = true;
}

void memory_disk::setFull(bool isFull, std::size_t freeBytes)
{
    m_isFull = isFull;
    m_freeBytes = freeBytes;
}

void memory_disk::clearFaults()
{
    m_isFull = false;
    m_writeFault = false;
    m_syncFault = false;
}

void memory_disk::crash(std::size_t unsyncedKept)
{
    for (auto &[name, stored] : m_files) {
        std::string left = stored.syncedBytes;
        if (stored.bytes.size() > left.size()) {
            left += stored.bytes.substr(left.size(), unsyncedKept);
        }
        stored = file{left, left};
    }
    clearFaults();
}

void memory_disk::rollBack(std::size_t syncs)
{
    if (m_syncedStates.empty()) {
        return;
    }
    const std::size_t last = m_syncedStates.size() - 1;
    const std::size_t kept = last - std::min(syncs, last);
    m_files = m_syncedStates[kept];
    m_syncedStates.resize(kept + 1);
}

void memory_disk::flipBit(const std::string &name, std::size_t byteOffset)
{
    file &stored = m_files.at(name);
    stored.bytes.at(byteOffset) = static_cast<char>(stored.bytes[byteOffset] ^ 1);
    if (byteOffset < stored.syncedBytes.size()) {
        stored.syncedBytes[byteOffset] = stored.bytes[byteOffset];
    }
}

void memory_disk::truncateFile(const std::string &name, std::size_t bytes)
{
    file &stored = m_files.at(name);
    stored.bytes.resize(stored.bytes.size() - std::min(bytes, stored.bytes.size()));
    stored.syncedBytes.resize(std::min(stored.syncedBytes.size(), stored.bytes.size()));
}

void memory_disk::eraseAll()
{
    m_files.clear();
    m_syncedStates.clear();
}

const memory_disk::folder &memory_disk::files() const
{
    return m_files;
}

std::size_t memory_disk::takeSpace(std::size_t size)
{
    if (std::exchange(m_writeFault, false)) {
        return 0;
    }
    if (!m_isFull) {
        return size;
    }
    const std::size_t taken = std::min(size, m_freeBytes);
    m_freeBytes -= taken;
    return taken;
}

bool memory_disk::consumeSyncFault()
{
    return std::exchange(m_syncFault, false);
}

memory_disk::folder &memory_disk::mutableFiles()
{
    return m_files;
}

void memory_disk::saveSyncedState()
{
    folder synced;
    for (const auto &[name, stored] : m_files) {
        synced[name] = file{stored.syncedBytes, stored.syncedBytes};
    }
    m_syncedStates.push_back(std::move(synced));
    if (m_syncedStates.size() > syncedStatesKept) {
        m_syncedStates.erase(m_syncedStates.begin());
    }
}

std::unique_ptr<store> openMemoryStore(memory_disk &disk)
{
    return std::make_unique<internal::record_store>(std::make_unique<memory_folder>(disk));
}

} // namespace jackdawweir::storage
