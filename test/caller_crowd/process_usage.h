// The memory and the file descriptors of a running process.
//
//     usage_peak peak;
//     peak.sample(pid);
//     CPPUNIT_ASSERT(peak.memoryBytes <= bound);

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <sys/types.h>

namespace jackdawweir::caller_crowd_test {

struct usage_peak {
    // The greatest resident memory since the process was started.
    std::uint64_t memoryBytes = 0;
    // The most descriptors that any sample found open.
    std::size_t descriptors = 0;

    void sample(pid_t process)
    {
        const std::filesystem::path folder = "/proc/" + std::to_string(process);
        std::ifstream status(folder / "status");
        constexpr std::uint64_t kibibyte = 1024;
        for (std::string word; status >> word;) {
            std::uint64_t kibibytes = 0;
            if (word == "VmHWM:" && status >> kibibytes) {
                memoryBytes = std::max(memoryBytes, kibibytes * kibibyte);
            }
        }
        std::error_code ignored;
        const std::filesystem::directory_iterator open(folder / "fd", ignored);
        descriptors = std::max(
            descriptors,
            static_cast<std::size_t>(std::distance(open, std::filesystem::directory_iterator{})));
    }
};

} // namespace jackdawweir::caller_crowd_test
