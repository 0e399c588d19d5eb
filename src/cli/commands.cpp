#include "cli/commands.h"

#include <fstream>
#include <ostream>

#include <absl/strings/str_cat.h>
#include <yaml-cpp/yaml.h>

#include "jackdawweir/cli/cli.h"
#include "jackdawweir/document/difference.h"
#include "jackdawweir/document/parse.h"
#include "jackdawweir/observe/json.h"

namespace jackdawweir::cli {

namespace {

// Reads and parses a file. If it is not a valid document, prints the error and sets the exit code.
std::optional<document::document>
loadDocument(const command_context &context, const std::string &path, int &exitCode)
{
    const std::optional<std::string> text = readFile(context, path);
    if (!text.has_value()) {
        exitCode = exitUsage;
        return std::nullopt;
    }
    const core::result<document::document> parsed = document::parseDocument(*text, path);
    if (const core::error *failure = core::errorIn(parsed)) {
        printOutcome(context, "refused", "reason", failure->message);
        exitCode = exitRefused;
        return std::nullopt;
    }
    return core::valueIn(parsed);
}

std::optional<document::document> loadCurrent(const command_context &context, int &exitCode)
{
    const std::optional<http_reply> reply = getFromAny(context, "/v1/document");
    if (!reply.has_value() || exitCodeOf(reply->status) != exitDone) {
        exitCode = exitUnreachable;
        return std::nullopt;
    }
    if (reply->body.empty()) {
        return document::document{};
    }
    const core::result<document::document> parsed
        = document::parseDocument(reply->body, "accepted document");
    if (const core::error *failure = core::errorIn(parsed)) {
        printOutcome(context, "refused", "reason", failure->message);
        exitCode = exitRefused;
        return std::nullopt;
    }
    return core::valueIn(parsed);
}

void printDifference(const command_context &context,
                     const document::document_difference &difference)
{
    if (!context.options.json) {
        context.out << document::toText(difference);
        return;
    }
    YAML::Emitter json;
    json << YAML::Flow << YAML::BeginSeq;
    for (const document::change &each : difference.changes) {
        observe::json_object(json)
            .add("change", document::toString(each.kind))
            .add("object", document::toString(each.object))
            .add("name", each.name)
            .add("before", each.before)
            .add("after", each.after)
            .end();
    }
    json << YAML::EndSeq;
    context.out << json.c_str() << '\n';
}

void printMapping(std::ostream &out, const YAML::Node &mapping, const char *separator)
{
    for (const auto &entry : mapping) {
        out << entry.first.Scalar() << ": " << entry.second.Scalar() << separator;
    }
}

// Prints a JSON response as "key: value" lines, with an empty line after each object of a list.
void printText(const command_context &context, const std::string &body)
{
    const YAML::Node answer = YAML::Load(body);
    if (answer.IsMap()) {
        printMapping(context.out, answer, "\n");
        return;
    }
    for (const auto &item : answer) {
        printMapping(context.out, item, "\n");
        context.out << '\n';
    }
}

int printReply(const command_context &context, const http_reply &reply)
{
    if (context.options.json) {
        context.out << reply.body;
    } else {
        try {
            printText(context, reply.body);
        } catch (const YAML::Exception &) {
            context.err << "jackdawweir: the answer is no JSON\n";
            return exitUnreachable;
        }
    }
    return exitCodeOf(reply.status);
}

} // namespace

int runValidate(const command_context &context)
{
    if (context.options.files.empty()) {
        return reportUsageError(context, "validate expects a file");
    }
    int exitCode = exitDone;
    for (const std::string &path : context.options.files) {
        if (loadDocument(context, path, exitCode).has_value()) {
            printOutcome(context, "valid", "file", path);
        }
    }
    return exitCode;
}

int runDiff(const command_context &context)
{
    const std::vector<std::string> &files = context.options.files;
    const bool withServer = files.size() == 1 && !context.options.servers.empty();
    if (!withServer && files.size() != 2) {
        return reportUsageError(context, "diff expects FILE and --server, or OLD and NEW");
    }
    int exitCode = exitDone;
    const std::optional<document::document> after = loadDocument(context, files.back(), exitCode);
    if (!after.has_value()) {
        return exitCode;
    }
    const std::optional<document::document> before = withServer
        ? loadCurrent(context, exitCode)
        : loadDocument(context, files.front(), exitCode);
    if (before.has_value()) {
        printDifference(context, document::differenceOf(*before, *after));
    }
    return exitCode;
}

int runExport(const command_context &context)
{
    if (context.options.servers.empty()) {
        return reportUsageError(context, "--server is missing");
    }
    const std::optional<http_reply> reply = getFromAny(context, "/v1/document");
    if (!reply.has_value()) {
        return exitUnreachable;
    }
    if (exitCodeOf(reply->status) != exitDone) {
        context.err << reply->body;
        return exitCodeOf(reply->status);
    }
    if (context.options.files.empty()) {
        context.out << reply->body;
    } else {
        std::ofstream file(context.options.files.front(), std::ios::binary);
        file << reply->body;
        file.close();
        if (!file) {
            return reportUsageError(
                context, absl::StrCat(context.options.files.front(), " cannot be written"));
        }
    }
    context.err << "version " << reply->version << '\n';
    return exitDone;
}

int runRead(const command_context &context)
{
    if (context.options.servers.empty()) {
        return reportUsageError(context, "--server is missing");
    }
    const std::optional<http_reply> reply
        = getFromAny(context, absl::StrCat("/v1/", context.options.command));
    return reply.has_value() ? printReply(context, *reply) : exitUnreachable;
}

int runControl(const command_context &context)
{
    if (context.options.servers.size() != 1) {
        return reportUsageError(context, "expected one --server");
    }
    const std::optional<std::string> token = readToken(context);
    if (!token.has_value()) {
        return exitUsage;
    }
    http_call call;
    call.server = context.options.servers.front();
    call.method = "POST";
    call.path = absl::StrCat("/v1/", context.options.command);
    call.headers = {{"Authorization", absl::StrCat("Bearer ", *token)}};
    call.timeout = context.options.timeout;
    const http_result result = callHttp(call);
    if (const auto *failure = std::get_if<http_failure>(&result)) {
        printOutcome(
            context, failure->maybeSent ? "unknown" : "unreachable", "reason", failure->message);
        return failure->maybeSent ? exitUnknown : exitUnreachable;
    }
    return printReply(context, std::get<http_reply>(result));
}

} // namespace jackdawweir::cli
