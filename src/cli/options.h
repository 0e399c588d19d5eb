// Parses and validates the command line.

#pragma once

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace jackdawweir::cli {

struct command_options {
    std::string command;
    // The arguments after the command.
    std::vector<std::string> files;
    std::vector<std::string> servers;
    std::string expect;
    std::string submission;
    std::string tokenFile;
    std::chrono::milliseconds timeout{30'000};
    bool json = false;
};

// Text to print instead of running a command, with the exit code.
struct usage_text {
    int exitCode = 0;
    std::string text;
};

std::variant<command_options, usage_text> parseOptions(const std::vector<std::string> &arguments);

} // namespace jackdawweir::cli
