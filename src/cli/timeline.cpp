#include "cli/timeline.h"

#include <algorithm>
#include <ostream>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <yaml-cpp/yaml.h>

#include "jackdawweir/cli/cli.h"
#include "jackdawweir/core/hybrid_time.h"
#include "jackdawweir/document/text.h"

namespace jackdawweir::cli {

namespace {

struct received_event {
    core::hybrid_time time;
    std::string json;
    YAML::Node parsed;
};

bool parseEvents(const std::string &body, std::vector<received_event> &events)
{
    const std::vector<std::string> lines = absl::StrSplit(body, '\n', absl::SkipEmpty());
    try {
        for (const std::string &line : lines) {
            received_event received{{}, line, YAML::Load(line)};
            const YAML::Node time = received.parsed["time"];
            received.time = core::hybrid_time{time["wall-micros"].as<std::int64_t>(),
                                              time["counter"].as<std::uint32_t>()};
            events.push_back(received);
        }
    } catch (const YAML::Exception &) {
        return false;
    }
    return true;
}

void printText(std::ostream &out, const received_event &shown)
{
    const core::wall_time wall{std::chrono::microseconds(shown.time.wallMicros)};
    out << document::formatTime(wall) << '+' << shown.time.counter;
    for (const char *key : {"host", "data-centre", "level", "event", "version", "peer", "step"}) {
        const std::string value = shown.parsed[key].as<std::string>("");
        if (!value.empty()) {
            out << ' ' << key << '=' << value;
        }
    }
    for (const auto &field : shown.parsed["fields"]) {
        out << ' ' << field.first.Scalar() << '=' << field.second.Scalar();
    }
    out << '\n';
}

bool fetchEvents(const command_context &context,
                 const std::string &server,
                 std::vector<received_event> &events)
{
    http_call call;
    call.server = server;
    call.path = "/v1/timeline";
    const http_result result = callHttp(call);
    if (const auto *failure = std::get_if<http_failure>(&result)) {
        context.err << "jackdawweir: " << failure->message << '\n';
        return false;
    }
    if (!parseEvents(std::get<http_reply>(result).body, events)) {
        context.err << "jackdawweir: " << server << ": the answer is no time line\n";
        return false;
    }
    return true;
}

} // namespace

int runTimeline(const command_context &context)
{
    if (context.options.servers.empty()) {
        return reportUsageError(context, "--server is missing");
    }
    int exitCode = exitDone;
    std::vector<received_event> events;
    for (const std::string &server : context.options.servers) {
        if (!fetchEvents(context, server, events)) {
            exitCode = exitUnreachable;
        }
    }
    std::stable_sort(
        events.begin(), events.end(), [](const received_event &left, const received_event &right) {
            return left.time < right.time;
        });
    for (const received_event &each : events) {
        if (context.options.json) {
            context.out << each.json << '\n';
        } else {
            printText(context.out, each);
        }
    }
    return exitCode;
}

} // namespace jackdawweir::cli
