#include "jackdawweir/storage/file_store.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "storage/record_store.h"

namespace jackdawweir::storage {

namespace {

constexpr const char *lockFileName = "lock";
constexpr const char *temporarySuffix = ".new";
constexpr mode_t fileMode = 0600;
constexpr mode_t folderMode = 0777;

core::error systemError(const char *step, const std::string &path)
{
    return core::error{core::error_code::Unavailable,
                       step,
                       "",
                       path + ": " + std::generic_category().message(errno)};
}

// Owns a file descriptor.
class descriptor
{
public:
    explicit descriptor(int value)
        : m_value(value)
    {
    }
    descriptor(descriptor &&other) noexcept
        : m_value(std::exchange(other.m_value, -1))
    {
    }
    descriptor(const descriptor &) = delete;
    descriptor &operator=(const descriptor &) = delete;
    descriptor &operator=(descriptor &&) = delete;
    ~descriptor()
    {
        if (m_value >= 0) {
            ::close(m_value);
        }
    }

    int get() const
    {
        return m_value;
    }

private:
    int m_value;
};

core::status
writeFully(const descriptor &file, const std::string &path, off_t offset, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::pwrite(file.get(), bytes.data(), bytes.size(), offset);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return systemError("write-file", path);
        }
        offset += written;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return core::okStatus();
}

core::status syncDescriptor(const descriptor &file, const std::string &path)
{
    return ::fsync(file.get()) == 0 ? core::okStatus() : systemError("sync-file", path);
}

// Makes created, renamed and removed entries of a folder durable.
core::status syncEntries(const std::string &path)
{
    const descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folder.get() < 0) {
        return systemError("open-folder", path);
    }
    return syncDescriptor(folder, path);
}

// Creates a folder with the folders above it, and makes their names durable. The name of a folder
// that exists is synced too, since its creator may have been killed before it did so; a failure of
// that is ignored, since a source must be able to start while its disk is full.
core::status createFolder(const std::filesystem::path &folder)
{
    const std::filesystem::path parent
        = folder.has_parent_path() ? folder.parent_path() : std::filesystem::path(".");
    std::error_code failure;
    if (std::filesystem::exists(folder, failure)) {
        (void)syncEntries(parent.string());
        return core::okStatus();
    }
    if (!std::filesystem::exists(parent, failure)) {
        if (core::status created = createFolder(parent); !core::isOk(created)) {
            return created;
        }
    }
    if (::mkdir(folder.c_str(), folderMode) != 0 && errno != EEXIST) {
        return systemError("create-folder", folder.string());
    }
    return syncEntries(parent.string());
}

class posix_file final : public internal::raw_file
{
public:
    posix_file(descriptor file, std::string path)
        : m_file(std::move(file))
        , m_path(std::move(path))
    {
    }

    core::status write(std::uint64_t offset, std::string_view bytes) override
    {
        return writeFully(m_file, m_path, static_cast<off_t>(offset), bytes);
    }

    core::status sync() override
    {
        return syncDescriptor(m_file, m_path);
    }

    core::status truncate(std::uint64_t size) override
    {
        return ::ftruncate(m_file.get(), static_cast<off_t>(size)) == 0
            ? core::okStatus()
            : systemError("truncate-file", m_path);
    }

private:
    descriptor m_file;
    std::string m_path;
};

class posix_folder final : public internal::raw_folder
{
public:
    posix_folder(std::string path, descriptor lock)
        : m_path(std::move(path))
        , m_lock(std::move(lock))
    {
    }

    core::result<std::unique_ptr<internal::raw_file>> open(const std::string &name) override
    {
        const std::string path = pathOf(name);
        descriptor file(::open(path.c_str(), O_RDWR | O_CLOEXEC));
        if (file.get() < 0) {
            return systemError("open-file", path);
        }
        return std::unique_ptr<internal::raw_file>(
            std::make_unique<posix_file>(std::move(file), path));
    }

    core::status replace(const std::string &name, std::string_view bytes) override
    {
        const std::string path = pathOf(name);
        const std::string temporary = path + temporarySuffix;
        if (core::status written = writeSynced(temporary, bytes); !core::isOk(written)) {
            return written;
        }
        if (::rename(temporary.c_str(), path.c_str()) != 0) {
            return systemError("rename-file", path);
        }
        return syncEntries(m_path);
    }

    core::result<std::optional<std::string>> read(const std::string &name) override
    {
        const std::string path = pathOf(name);
        const descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
        if (file.get() < 0 && errno == ENOENT) {
            return std::optional<std::string>();
        }
        struct stat attributes {
        };
        if (file.get() < 0 || ::fstat(file.get(), &attributes) != 0) {
            return systemError("open-file", path);
        }
        std::string bytes(static_cast<std::size_t>(attributes.st_size), '\0');
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t count = ::pread(
                file.get(), bytes.data() + done, bytes.size() - done, static_cast<off_t>(done));
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count <= 0) {
                return systemError("read-file", path);
            }
            done += static_cast<std::size_t>(count);
        }
        return std::optional<std::string>(std::move(bytes));
    }

    core::status removeAll() override
    {
        std::error_code failure;
        for (const auto &entry : std::filesystem::directory_iterator(m_path, failure)) {
            if (entry.path().filename() == lockFileName) {
                continue;
            }
            if (::unlink(entry.path().c_str()) != 0) {
                return systemError("remove-file", entry.path().string());
            }
        }
        return syncEntries(m_path);
    }

private:
    std::string pathOf(const std::string &name) const
    {
        return m_path + "/" + name;
    }

    core::status writeSynced(const std::string &path, std::string_view bytes)
    {
        const descriptor file(
            ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, fileMode));
        if (file.get() < 0) {
            return systemError("create-file", path);
        }
        if (core::status written = writeFully(file, path, 0, bytes); !core::isOk(written)) {
            return written;
        }
        return syncDescriptor(file, path);
    }

    std::string m_path;
    descriptor m_lock;
};

} // namespace

core::result<std::unique_ptr<store>> openFileStore(const std::string &folder)
{
    if (core::status created = createFolder(folder); !core::isOk(created)) {
        return *core::errorIn(created);
    }
    const std::string lockPath = folder + "/" + lockFileName;
    descriptor lock(::open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode));
    if (lock.get() < 0) {
        return systemError("open-data-folder", lockPath);
    }
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
        return systemError("lock-data-folder", lockPath);
    }
    return std::unique_ptr<store>(std::make_unique<internal::record_store>(
        std::make_unique<posix_folder>(folder, std::move(lock))));
}

} // namespace jackdawweir::storage
