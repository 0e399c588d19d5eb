#include "cli/command_context.h"

#include <fstream>
#include <ostream>

#include <absl/strings/str_cat.h>

#include "jackdawweir/cli/cli.h"
#include "jackdawweir/document/parse.h"
#include "jackdawweir/observe/json.h"
#include "jackdawweir/settings/settings.h"

namespace jackdawweir::cli {

int reportUsageError(const command_context &context, const std::string &message)
{
    context.err << "jackdawweir: " << message << "; see --help\n";
    return exitUsage;
}

void printOutcome(const command_context &context,
                  const std::string &outcome,
                  const std::string &key,
                  const std::string &value)
{
    if (!context.options.json) {
        context.out << outcome << ": " << value << '\n';
        return;
    }
    YAML::Emitter json;
    observe::json_object(json).add("outcome", outcome).add(key.c_str(), value).end();
    context.out << json.c_str() << '\n';
}

std::optional<std::string> readFile(const command_context &context, const std::string &path)
{
    std::ifstream input(path, std::ios::binary);
    std::string text(document::maxDocumentBytes + 1, '\0');
    input.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!input.is_open() || input.bad() || (input.fail() && !input.eof())) {
        context.err << "jackdawweir: " << path << " cannot be read\n";
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(input.gcount()));
    return text;
}

std::optional<std::string> readToken(const command_context &context)
{
    if (context.options.tokenFile.empty()) {
        reportUsageError(context, "--token-file is missing");
        return std::nullopt;
    }
    const core::result<std::string> token = settings::readOperatorToken(context.options.tokenFile);
    if (const core::error *failure = core::errorIn(token)) {
        context.err << "jackdawweir: " << failure->message << '\n';
        return std::nullopt;
    }
    return core::valueIn(token);
}

std::optional<http_reply> getFromAny(const command_context &context, const std::string &path)
{
    for (const std::string &server : context.options.servers) {
        http_call call;
        call.server = server;
        call.path = path;
        const http_result result = callHttp(call);
        if (const auto *reply = std::get_if<http_reply>(&result)) {
            return *reply;
        }
        context.err << "jackdawweir: " << std::get<http_failure>(result).message << '\n';
    }
    return std::nullopt;
}

int exitCodeOf(long status)
{
    constexpr long ok = 200;
    constexpr long unavailable = 503;
    constexpr long unknown = 504;
    switch (status) {
    case ok:
        return exitDone;
    case unavailable:
        return exitUnreachable;
    case unknown:
        return exitUnknown;
    default:
        return exitRefused;
    }
}

} // namespace jackdawweir::cli
