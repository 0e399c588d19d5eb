// A program of the project that a test runs as a child process.
//
//     child_process daemon("jackdawweird", {"--settings", path}, logPath);
//     daemon.kill(SIGTERM);
//     std::optional<int> code = daemon.waitForExit(std::chrono::seconds(10));

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jackdawweir::process_test {

class child_process
{
public:
    // Starts a program from the folder of the test program; its output is appended to logPath.
    // Throws std::runtime_error if the program cannot be started.
    child_process(const std::string &program,
                  const std::vector<std::string> &arguments,
                  const std::string &logPath);
    // Kills the child with SIGKILL if it still runs.
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    // The process id, also after the child has ended.
    pid_t id() const
    {
        return m_pid;
    }

    void kill(int signal) const;
    void killAndReap();
    // Refuses writes that would make a file of the child longer than this; std::nullopt lifts the
    // limit. Throws std::runtime_error if the limit can't be set.
    void limitFileSize(std::optional<std::uint64_t> bytes) const;
    // Returns the exit code, or 128 + N if signal N ended the child, or std::nullopt if the child
    // still runs when the timeout expires.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

private:
    pid_t m_pid = -1;
    std::optional<int> m_exitCode;
};

// Kills the children and ends the test program when the whole run takes longer than the timeout.
// CTest kills only the test program at its own timeout, which would leave the children running.
void endChildrenAfter(std::chrono::seconds timeout);

} // namespace jackdawweir::process_test
