#include "jackdawweir/observe/event.h"

#include <algorithm>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <yaml-cpp/emitter.h>

namespace jackdawweir::observe {

namespace {

bool needsQuotes(const std::string &value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char character) {
               return !absl::ascii_isgraph(character) || character == '"' || character == '='
                   || character == '\\';
           });
}

void appendPair(std::string &line, const std::string &key, const std::string &value)
{
    const char *separator = line.empty() ? "" : " ";
    if (needsQuotes(value)) {
        absl::StrAppend(&line, separator, key, "=\"", absl::Utf8SafeCEscape(value), "\"");
    } else {
        absl::StrAppend(&line, separator, key, "=", value);
    }
}

std::string timeText(const core::hybrid_time &time)
{
    return absl::StrCat(time.wallMicros, ".", time.counter);
}

} // namespace

const char *toString(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "unknown";
}

std::optional<log_level> parseLogLevel(std::string_view name)
{
    for (const log_level level :
         {log_level::Debug, log_level::Info, log_level::Warning, log_level::Error}) {
        if (name == toString(level)) {
            return level;
        }
    }
    return std::nullopt;
}

event_builder::event_builder(std::string name, core::hybrid_time time)
{
    m_event.name = std::move(name);
    m_event.time = time;
}

event_builder &event_builder::level(log_level level)
{
    m_event.level = level;
    return *this;
}

event_builder &event_builder::version(const core::config_version &version)
{
    m_event.version = version;
    return *this;
}

event_builder &event_builder::host(core::host_name host, core::data_centre_name dataCentre)
{
    m_event.host = std::move(host);
    m_event.dataCentre = std::move(dataCentre);
    return *this;
}

event_builder &event_builder::peer(std::string peer)
{
    m_event.peer = std::move(peer);
    return *this;
}

event_builder &event_builder::step(std::string step)
{
    m_event.step = std::move(step);
    return *this;
}

event_builder &event_builder::field(std::string key, std::string value)
{
    m_event.fields.push_back(event_field{std::move(key), std::move(value)});
    return *this;
}

event_builder &event_builder::failure(const core::error &failure)
{
    m_event.level = log_level::Error;
    m_event.step = failure.step;
    m_event.peer = failure.peer;
    return field("code", core::toString(failure.code)).field("message", failure.message);
}

event event_builder::build() const
{
    return m_event;
}

std::string toLogLine(const event &logged)
{
    std::string line;
    appendPair(line, "time", timeText(logged.time));
    appendPair(line, "level", toString(logged.level));
    appendPair(line, "event", logged.name);
    appendPair(line, "version", core::toString(logged.version));
    appendPair(line, "host", logged.host.value);
    appendPair(line, "data-centre", logged.dataCentre.value);
    appendPair(line, "peer", logged.peer);
    appendPair(line, "step", logged.step);
    for (const event_field &field : logged.fields) {
        appendPair(line, field.key, field.value);
    }
    return line;
}

std::string toJsonLine(const event &logged)
{
    // In flow style with JSON escapes, the YAML emitter writes JSON on one line.
    YAML::Emitter out;
    out << YAML::EscapeAsJson << YAML::DoubleQuoted << YAML::Flow << YAML::BeginMap;
    out << YAML::Key << "time" << YAML::Value << YAML::Flow << YAML::BeginMap;
    out << YAML::Key << "wall-micros" << YAML::Value << logged.time.wallMicros;
    out << YAML::Key << "counter" << YAML::Value << logged.time.counter << YAML::EndMap;
    out << YAML::Key << "level" << YAML::Value << toString(logged.level);
    out << YAML::Key << "event" << YAML::Value << logged.name;
    out << YAML::Key << "version" << YAML::Value << core::toString(logged.version);
    out << YAML::Key << "host" << YAML::Value << logged.host.value;
    out << YAML::Key << "data-centre" << YAML::Value << logged.dataCentre.value;
    out << YAML::Key << "peer" << YAML::Value << logged.peer;
    out << YAML::Key << "step" << YAML::Value << logged.step;
    out << YAML::Key << "fields" << YAML::Value << YAML::Flow << YAML::BeginMap;
    for (const event_field &field : logged.fields) {
        out << YAML::Key << field.key << YAML::Value << field.value;
    }
    out << YAML::EndMap << YAML::EndMap;
    return out.c_str();
}

} // namespace jackdawweir::observe
