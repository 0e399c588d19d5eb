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

// Reads and parses a file; prints the refusal and sets the exit code where it is no document.
std::optional<document::document>
loadDocument(const session &run, const std::string &path, int &exitCode)
{
    const std::optional<std::string> text = readFile(run, path);
    if (!text.has_value()) {
        exitCode = exitUsage;
        return std::nullopt;
    }
    const core::result<document::document> parsed = document::parseDocument(*text, path);
    if (const core::error *failure = core::errorIn(parsed)) {
        printOutcome(run, "refused", "reason", failure->message);
        exitCode = exitRefused;
        return std::nullopt;
    }
    return core::valueIn(parsed);
}

std::optional<document::document> loadCurrent(const session &run, int &exitCode)
{
    const std::optional<http_reply> reply = getFromAny(run, "/v1/document");
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
        printOutcome(run, "refused", "reason", failure->message);
        exitCode = exitRefused;
        return std::nullopt;
    }
    return core::valueIn(parsed);
}

void printDifference(const session &run, const document::document_difference &difference)
{
    if (!run.options.json) {
        run.out << document::toText(difference);
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
    run.out << json.c_str() << '\n';
}

void printMapping(std::ostream &out, const YAML::Node &mapping, const char *separator)
{
    for (const auto &entry : mapping) {
        out << entry.first.Scalar() << ": " << entry.second.Scalar() << separator;
    }
}

// Prints an answer's JSON as "key: value" lines; the objects of a list are set apart by an empty
// line.
void printText(const session &run, const std::string &body)
{
    const YAML::Node answer = YAML::Load(body);
    if (answer.IsMap()) {
        printMapping(run.out, answer, "\n");
        return;
    }
    for (const auto &item : answer) {
        printMapping(run.out, item, "\n");
        run.out << '\n';
    }
}

int printReply(const session &run, const http_reply &reply)
{
    if (run.options.json) {
        run.out << reply.body;
    } else {
        try {
            printText(run, reply.body);
        } catch (const YAML::Exception &) {
            run.err << "jackdawweir: the answer is no JSON\n";
            return exitUnreachable;
        }
    }
    return exitCodeOf(reply.status);
}

} // namespace

int runValidate(const session &run)
{
    if (run.options.files.empty()) {
        return reportUsage(run, "validate expects a file");
    }
    int exitCode = exitDone;
    for (const std::string &path : run.options.files) {
        if (loadDocument(run, path, exitCode).has_value()) {
            printOutcome(run, "valid", "file", path);
        }
    }
    return exitCode;
}

int runDiff(const session &run)
{
    const std::vector<std::string> &files = run.options.files;
    const bool withServer = files.size() == 1 && !run.options.servers.empty();
    if (!withServer && files.size() != 2) {
        return reportUsage(run, "diff expects FILE and --server, or OLD and NEW");
    }
    int exitCode = exitDone;
    const std::optional<document::document> after = loadDocument(run, files.back(), exitCode);
    if (!after.has_value()) {
        return exitCode;
    }
    const std::optional<document::document> before
        = withServer ? loadCurrent(run, exitCode) : loadDocument(run, files.front(), exitCode);
    if (before.has_value()) {
        printDifference(run, document::differenceOf(*before, *after));
    }
    return exitCode;
}

int runExport(const session &run)
{
    if (run.options.servers.empty()) {
        return reportUsage(run, "--server is missing");
    }
    const std::optional<http_reply> reply = getFromAny(run, "/v1/document");
    if (!reply.has_value()) {
        return exitUnreachable;
    }
    if (exitCodeOf(reply->status) != exitDone) {
        run.err << reply->body;
        return exitCodeOf(reply->status);
    }
    if (run.options.files.empty()) {
        run.out << reply->body;
    } else {
        std::ofstream file(run.options.files.front(), std::ios::binary);
        file << reply->body;
        file.close();
        if (!file) {
            return reportUsage(run, absl::StrCat(run.options.files.front(), " cannot be written"));
        }
    }
    run.err << "version " << reply->version << '\n';
    return exitDone;
}

int runRead(const session &run)
{
    if (run.options.servers.empty()) {
        return reportUsage(run, "--server is missing");
    }
    const std::optional<http_reply> reply
        = getFromAny(run, absl::StrCat("/v1/", run.options.command));
    return reply.has_value() ? printReply(run, *reply) : exitUnreachable;
}

int runControl(const session &run)
{
    if (run.options.servers.size() != 1) {
        return reportUsage(run, "expected one --server");
    }
    const std::optional<std::string> token = readToken(run);
    if (!token.has_value()) {
        return exitUsage;
    }
    http_call call;
    call.server = run.options.servers.front();
    call.method = "POST";
    call.path = absl::StrCat("/v1/", run.options.command);
    call.headers = {absl::StrCat("Authorization: Bearer ", *token)};
    call.timeout = run.options.timeout;
    const http_result result = callHttp(call);
    if (const auto *failure = std::get_if<http_failure>(&result)) {
        printOutcome(
            run, failure->maybeSent ? "unknown" : "unreachable", "reason", failure->message);
        return failure->maybeSent ? exitUnknown : exitUnreachable;
    }
    return printReply(run, std::get<http_reply>(result));
}

} // namespace jackdawweir::cli
