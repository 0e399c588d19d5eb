// Writes what a soak run does and sees to a file, with the time of the processes' own logs, so that
// a violation can be traced through all of them.
//
//     soak_journal journal(folder / "soak.log");
//     journal.write("event=fault kind=kill ip=127.1.1.1");

#pragma once

#include <chrono>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>

namespace jackdawweir::platform_soak {

class soak_journal
{
public:
    explicit soak_journal(const std::filesystem::path &path)
        : m_file(path)
    {
    }

    void write(const std::string &line)
    {
        const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        const std::lock_guard lock(m_mutex);
        m_file << "time=" << now.count() << ".0 " << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace jackdawweir::platform_soak
