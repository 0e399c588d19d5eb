#include "process/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <filesystem>
#include <stdexcept>

#include "process/wait.h"

namespace jackdawweir::process_test {

namespace {

constexpr int signalExitBase = 128;
constexpr std::size_t maxChildren = 256;

// The running children, in an array of atomics because the signal handler must not allocate or
// lock.
std::array<std::atomic<pid_t>, maxChildren> runningChildren;

void replaceRunningChild(pid_t from, pid_t to)
{
    for (std::atomic<pid_t> &entry : runningChildren) {
        pid_t expected = from;
        if (entry.compare_exchange_strong(expected, to)) {
            return;
        }
    }
}

extern "C" void endChildrenOnSignal(int signal)
{
    for (const std::atomic<pid_t> &entry : runningChildren) {
        if (const pid_t pid = entry.load(); pid > 0) {
            ::kill(pid, SIGKILL);
        }
    }
    _exit(signalExitBase + signal);
}

std::string programPath(const std::string &program)
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program).string();
}

int exitCodeOf(int waitStatus)
{
    return WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : signalExitBase + WTERMSIG(waitStatus);
}

} // namespace

child_process::child_process(const std::string &program,
                             const std::vector<std::string> &arguments,
                             const std::string &logPath)
{
    const std::string path = programPath(program);
    std::vector<std::string> words{path};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(words.size() + 1);
    for (std::string &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    constexpr mode_t logMode = 0644;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that holds the sockets of the test keeps their peers from seeing the test close them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failure = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        m_exitCode = -1;
        throw std::runtime_error(path + " cannot be started");
    }
    replaceRunningChild(0, m_pid);
}

child_process::~child_process()
{
    killAndReap();
}

void child_process::kill(int signal) const
{
    // Once the child is reaped, its process id may belong to another process.
    if (!m_exitCode.has_value()) {
        ::kill(m_pid, signal);
    }
}

void child_process::killAndReap()
{
    if (m_exitCode.has_value()) {
        return;
    }
    kill(SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    replaceRunningChild(m_pid, 0);
    m_exitCode = exitCodeOf(status);
}

void child_process::limitFileSize(std::optional<std::uint64_t> bytes) const
{
    const rlimit limit{bytes.value_or(RLIM_INFINITY), RLIM_INFINITY};
    if (m_exitCode.has_value() || ::prlimit(m_pid, RLIMIT_FSIZE, &limit, nullptr) != 0) {
        throw std::runtime_error("the file size of a child cannot be limited");
    }
}

std::optional<int> child_process::waitForExit(std::chrono::milliseconds timeout)
{
    waitUntil(timeout, [this] {
        int status = 0;
        if (!m_exitCode.has_value() && waitpid(m_pid, &status, WNOHANG) == m_pid) {
            replaceRunningChild(m_pid, 0);
            m_exitCode = exitCodeOf(status);
        }
        return m_exitCode.has_value();
    });
    return m_exitCode;
}

void endChildrenAfter(std::chrono::seconds timeout)
{
    for (const int each : {SIGALRM, SIGTERM, SIGINT}) {
        signal(each, endChildrenOnSignal);
    }
    alarm(static_cast<unsigned>(timeout.count()));
}

} // namespace jackdawweir::process_test
