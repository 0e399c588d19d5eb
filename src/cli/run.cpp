#include <map>
#include <ostream>

#include <absl/strings/str_cat.h>

#include "cli/apply.h"
#include "cli/command_context.h"
#include "cli/commands.h"
#include "cli/timeline.h"
#include "jackdawweir/cli/cli.h"

namespace jackdawweir::cli {

namespace {

const std::map<std::string, int (*)(const command_context &)> commands{
    {"init", runControl},
    {"validate", runValidate},
    {"diff", runDiff},
    {"apply", runApply},
    {"status", runRead},
    {"history", runRead},
    {"moves", runRead},
    {"timeline", runTimeline},
    {"drain", runControl},
    {"export", runExport},
};

} // namespace

int runCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    const std::variant<command_options, usage_text> parsed = parseOptions(arguments);
    if (const auto *usage = std::get_if<usage_text>(&parsed)) {
        (usage->exitCode == exitDone ? out : err) << usage->text;
        return usage->exitCode;
    }
    const auto &options = std::get<command_options>(parsed);
    const command_context context{options, out, err};
    const auto found = commands.find(options.command);
    if (found == commands.end()) {
        return reportUsageError(context, absl::StrCat("unknown command '", options.command, "'"));
    }
    return found->second(context);
}

} // namespace jackdawweir::cli
