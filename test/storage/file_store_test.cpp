// Checks which folders the file store syncs. The program's calls of fsync() are recorded.

#include "jackdawweir/storage/file_store.h"

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include <sys/syscall.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

namespace {

// The paths of the files and folders that were synced.
std::vector<std::string> &syncedPaths()
{
    static std::vector<std::string> paths;
    return paths;
}

} // namespace

// Takes the place of the C library's function in this program.
extern "C" int fsync(int descriptor)
{
    std::error_code failure;
    const auto path
        = std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor), failure);
    syncedPaths().push_back(path.string());
    return static_cast<int>(::syscall(SYS_fsync, descriptor));
}

namespace jackdawweir::storage {

class file_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(file_store_test);
    CPPUNIT_TEST(syncsTheFoldersThatHoldTheDataFolder);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a power loss after which the data folder of every source is gone, with all
    // that was acknowledged.
    void syncsTheFoldersThatHoldTheDataFolder()
    {
        std::string base = std::filesystem::temp_directory_path() / "jackdawweir-XXXXXX";
        CPPUNIT_ASSERT(::mkdtemp(base.data()) != nullptr);
        const std::string parent = base + "/data";
        for (const bool existedBefore : {false, true}) {
            syncedPaths().clear();
            CPPUNIT_ASSERT(core::isOk(openFileStore(parent + "/agreement")));
            CPPUNIT_ASSERT(wasSynced(parent));
            CPPUNIT_ASSERT(existedBefore || wasSynced(base));
        }
        std::filesystem::remove_all(base);
    }

private:
    static bool wasSynced(const std::string &path)
    {
        const std::vector<std::string> &paths = syncedPaths();
        return std::find(paths.begin(), paths.end(), path) != paths.end();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(file_store_test);

} // namespace jackdawweir::storage
