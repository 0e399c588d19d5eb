#include "cli/options.h"

#include <exception>

#include <absl/strings/str_cat.h>
#include <cxxopts.hpp>

#include "jackdawweir/cli/cli.h"
#include "jackdawweir/document/text.h"

namespace jackdawweir::cli {

namespace {

constexpr const char *helpText = R"(
Commands:
  init      make the source at --server the only voter of a new deployment
  validate  check document files without a server: validate FILE...
  diff      show what a file changes: diff FILE --server S, or diff OLD NEW
  apply     submit a document and wait for its outcome
  status    show the state of a daemon
  history   list the accepted versions
  moves     list the moves with state and reason
  timeline  merge the events of several daemons by hybrid logical time
  drain     start the graceful shutdown of a daemon
  export    write the accepted document byte for byte

Examples:
  jackdawweir validate mesh.yaml
  jackdawweir diff mesh.yaml --server 127.0.1.1:8081
  jackdawweir apply --file mesh.yaml --server 127.0.1.1:8081 --token-file token
  jackdawweir apply --file mesh.yaml --expect 3.17-0123456789abcdef0123456789abcdef \
      --submission change-42 --server 127.0.1.1:8081 --server 127.0.2.1:8081 --token-file token
  jackdawweir moves --server 127.0.1.1:8081 --output json
  jackdawweir timeline --server 127.0.1.1:8081 --server 127.0.2.1:8081

Exit codes:
  0  done
  1  refused, or in conflict with another change; nothing was changed
  2  wrong usage or settings
  3  unknown: apply again with the same --submission and --expect
  4  no server could be reached
)";

cxxopts::Options describeOptions()
{
    cxxopts::Options options("jackdawweir", "Operates a jackdawweir deployment.");
    options.positional_help("COMMAND [FILE...]");
    auto add = options.add_options();
    add("server",
        "Operators' address of a daemon; repeat it for several",
        cxxopts::value<std::vector<std::string>>(),
        "ADDRESS:PORT");
    add("file", "Document to apply, or file to export to", cxxopts::value<std::string>(), "FILE");
    add("expect",
        "Version that the change was made from; the current one by default",
        cxxopts::value<std::string>(),
        "VERSION");
    add("submission",
        "Id of the submission; a resend carries the same one",
        cxxopts::value<std::string>(),
        "ID");
    add("token-file", "File with the operator token", cxxopts::value<std::string>(), "FILE");
    add("timeout",
        "Time that apply waits for an outcome",
        cxxopts::value<std::string>()->default_value("30s"),
        "DURATION");
    add("output", "text or json", cxxopts::value<std::string>()->default_value("text"), "FORMAT");
    add("help", "Show this text");
    add("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"arguments"});
    return options;
}

usage_text usageError(const std::string &message)
{
    return usage_text{exitUsage, absl::StrCat("jackdawweir: ", message, "; see --help\n")};
}

std::string textOption(const cxxopts::ParseResult &parsed, const char *name)
{
    return parsed.count(name) == 0 ? std::string() : parsed[name].as<std::string>();
}

std::vector<std::string> listOption(const cxxopts::ParseResult &parsed, const char *name)
{
    return parsed.count(name) == 0 ? std::vector<std::string>()
                                   : parsed[name].as<std::vector<std::string>>();
}

std::variant<command_options, usage_text> checkOptions(const cxxopts::ParseResult &parsed)
{
    command_options checked;
    checked.files = listOption(parsed, "arguments");
    if (checked.files.empty()) {
        return usageError("a command is missing");
    }
    checked.command = checked.files.front();
    checked.files.erase(checked.files.begin());
    if (parsed.count("file") != 0) {
        checked.files.push_back(textOption(parsed, "file"));
    }
    checked.servers = listOption(parsed, "server");
    checked.expect = textOption(parsed, "expect");
    checked.submission = textOption(parsed, "submission");
    checked.tokenFile = textOption(parsed, "token-file");
    const auto timeout = document::parseDuration(parsed["timeout"].as<std::string>());
    if (!timeout.has_value()) {
        return usageError("--timeout expects a duration with unit, for example 30s");
    }
    checked.timeout = *timeout;
    const std::string output = parsed["output"].as<std::string>();
    if (output != "text" && output != "json") {
        return usageError("--output expects text or json");
    }
    checked.json = output == "json";
    return checked;
}

} // namespace

std::variant<command_options, usage_text> parseOptions(const std::vector<std::string> &arguments)
{
    std::vector<const char *> words{"jackdawweir"};
    for (const std::string &argument : arguments) {
        words.push_back(argument.c_str());
    }
    try {
        cxxopts::Options options = describeOptions();
        const cxxopts::ParseResult parsed
            = options.parse(static_cast<int>(words.size()), words.data());
        if (parsed.count("help") != 0) {
            return usage_text{exitDone, absl::StrCat(options.help(), helpText)};
        }
        return checkOptions(parsed);
    } catch (const std::exception &failure) {
        return usageError(failure.what());
    }
}

} // namespace jackdawweir::cli
