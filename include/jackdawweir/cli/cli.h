// The commands of the program jackdawweir.
//
//     const int code = runCommand({"status", "--server", "127.0.1.1:8081"}, std::cout, std::cerr);

#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace jackdawweir::cli {

// Exit codes of every command.
constexpr int exitDone = 0;
constexpr int exitRefused = 1; // Also a conflict: nothing was changed.
constexpr int exitUsage = 2;
constexpr int exitUnknown = 3; // The change may or may not have been accepted.
constexpr int exitUnreachable = 4;

// Runs one command and returns its exit code. Writes results to `out` and all other messages to
// `err`.
int runCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

} // namespace jackdawweir::cli
