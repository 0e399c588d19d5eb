#include "jackdawweir/settings/settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <yaml-cpp/emitter.h>

#include "jackdawweir/document/text.h"
#include "jackdawweir/document/yaml_reader.h"
#include "settings/validation.h"

namespace jackdawweir::settings {

namespace {

using document::yaml_field;
using document::yaml_reader;

// About ten times the size of settings for the design size (840 hosts as relay candidates).
constexpr document::yaml_bounds settingsBounds{1U << 20U, 8, 20'000};

constexpr const char *readStep = "read-settings";

core::error settingsError(core::error_code code, std::string message)
{
    return core::error{code, readStep, "", std::move(message)};
}

std::vector<core::endpoint> readEndpoints(const yaml_field &field)
{
    std::vector<core::endpoint> read;
    for (const yaml_field &item : field.items()) {
        read.push_back(core::endpoint{item.text()});
    }
    return read;
}

data_centre_settings readDataCentre(const yaml_field &field)
{
    field.expectMapping({"name", "region", "relay-candidates"}, {});
    return data_centre_settings{core::data_centre_name{field.at("name").text()},
                                core::region_name{field.at("region").text()},
                                readEndpoints(field.at("relay-candidates"))};
}

source_settings readSource(const yaml_field &field)
{
    field.expectMapping({"mesh", "data-folder"}, {"bootstrap"});
    source_settings read;
    read.mesh.value = field.at("mesh").text();
    read.dataFolder = field.at("data-folder").text();
    if (field.has("bootstrap")) {
        read.bootstrap = field.at("bootstrap").boolean();
    }
    return read;
}

observe::log_level readLevel(const yaml_field &field)
{
    const std::optional<observe::log_level> level = observe::parseLogLevel(field.text());
    if (!level) {
        field.fail("expected debug, info, warning or error");
    }
    return level.value_or(observe::log_level::Info);
}

limit_settings readLimits(const yaml_field &field)
{
    field.expectMapping({}, {"shutdown-timeout"});
    limit_settings read;
    if (field.has("shutdown-timeout")) {
        read.shutdownTimeout
            = field.at("shutdown-timeout")
                  .duration(internal::minShutdownTimeout, internal::maxShutdownTimeout);
    }
    return read;
}

void readOptional(const yaml_field &top, daemon_settings &read)
{
    if (top.has("source")) {
        read.source = readSource(top.at("source"));
    }
    if (top.has("log-level")) {
        read.logLevel = readLevel(top.at("log-level"));
    }
    if (top.has("limits")) {
        read.limits = readLimits(top.at("limits"));
    }
}

daemon_settings readDaemonSettings(const yaml_field &top)
{
    top.expectMapping({"host",
                       "region",
                       "data-centre",
                       "callers",
                       "operators",
                       "mesh",
                       "data-centres",
                       "sources",
                       "operator-token-file"},
                      {"source", "log-level", "limits"});
    daemon_settings read;
    read.host.value = top.at("host").text();
    read.region.value = top.at("region").text();
    read.dataCentre.value = top.at("data-centre").text();
    read.callers.value = top.at("callers").text();
    read.operators.value = top.at("operators").text();
    read.mesh.value = top.at("mesh").text();
    for (const yaml_field &item : top.at("data-centres").items()) {
        read.dataCentres.push_back(readDataCentre(item));
    }
    read.sources = readEndpoints(top.at("sources"));
    read.operatorTokenFile = top.at("operator-token-file").text();
    readOptional(top, read);
    return read;
}

void writeEndpoints(YAML::Emitter &out, const std::vector<core::endpoint> &endpoints)
{
    out << YAML::Flow << YAML::BeginSeq;
    for (const core::endpoint &each : endpoints) {
        out << YAML::DoubleQuoted << each.value;
    }
    out << YAML::EndSeq;
}

void writePair(YAML::Emitter &out, const char *key, const std::string &value)
{
    out << YAML::Key << key << YAML::Value << value;
}

void writeDataCentre(YAML::Emitter &out, const data_centre_settings &written)
{
    out << YAML::BeginMap;
    writePair(out, "name", written.name.value);
    writePair(out, "region", written.region.value);
    out << YAML::Key << "relay-candidates" << YAML::Value;
    writeEndpoints(out, written.relayCandidates);
    out << YAML::EndMap;
}

void writeLimits(YAML::Emitter &out, const limit_settings &written)
{
    out << YAML::Key << "limits" << YAML::Value << YAML::BeginMap;
    writePair(out, "shutdown-timeout", document::formatDuration(written.shutdownTimeout));
    out << YAML::EndMap;
}

} // namespace

const data_centre_settings *
daemon_settings::findDataCentre(const core::data_centre_name &name) const
{
    const auto found
        = std::find_if(dataCentres.begin(),
                       dataCentres.end(),
                       [&name](const data_centre_settings &each) { return each.name == name; });
    return found == dataCentres.end() ? nullptr : &*found;
}

core::result<daemon_settings> parseSettings(std::string_view yaml, const std::string &fileName)
{
    yaml_reader reader(readStep, fileName);
    daemon_settings read = readDaemonSettings(reader.open(yaml, settingsBounds));
    if (reader.failure() == nullptr) {
        if (const std::optional<document::field_fault> fault = internal::findFault(read)) {
            reader.fail(*fault);
        }
    }
    if (const core::error *failure = reader.failure()) {
        return *failure;
    }
    return read;
}

core::result<daemon_settings> readSettings(const std::string &path)
{
    std::ifstream input(path, std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(input), {});
    if (!input.is_open() || input.bad()) {
        return settingsError(core::error_code::NotFound,
                             absl::StrCat(path, ":1: file: it cannot be read"));
    }
    return parseSettings(text, path);
}

std::string toYaml(const daemon_settings &written)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    writePair(out, "host", written.host.value);
    writePair(out, "region", written.region.value);
    writePair(out, "data-centre", written.dataCentre.value);
    writePair(out, "callers", written.callers.value);
    writePair(out, "operators", written.operators.value);
    writePair(out, "mesh", written.mesh.value);
    out << YAML::Key << "data-centres" << YAML::Value << YAML::BeginSeq;
    for (const data_centre_settings &each : written.dataCentres) {
        writeDataCentre(out, each);
    }
    out << YAML::EndSeq;
    out << YAML::Key << "sources" << YAML::Value;
    writeEndpoints(out, written.sources);
    if (written.source.has_value()) {
        out << YAML::Key << "source" << YAML::Value << YAML::BeginMap;
        writePair(out, "mesh", written.source->mesh.value);
        writePair(out, "data-folder", written.source->dataFolder);
        out << YAML::Key << "bootstrap" << YAML::Value << written.source->bootstrap;
        out << YAML::EndMap;
    }
    writePair(out, "operator-token-file", written.operatorTokenFile);
    writePair(out, "log-level", observe::toString(written.logLevel));
    writeLimits(out, written.limits);
    out << YAML::EndMap;
    return absl::StrCat(out.c_str(), "\n");
}

core::result<std::string> readOperatorToken(const std::string &path)
{
    // Shorter tokens can be guessed by brute force over HTTP.
    constexpr std::size_t minTokenLength = 16;
    std::ifstream input(path);
    std::string token;
    if (!input.is_open() || !std::getline(input, token)) {
        return settingsError(core::error_code::NotFound,
                             absl::StrCat(path, ":1: token: it cannot be read"));
    }
    const bool isPrintable = std::all_of(token.begin(), token.end(), [](unsigned char character) {
        return absl::ascii_isgraph(character);
    });
    if (token.size() < minTokenLength || !isPrintable) {
        return settingsError(core::error_code::InvalidArgument,
                             absl::StrCat(path,
                                          ":1: token: expected at least ",
                                          minTokenLength,
                                          " printable characters without spaces"));
    }
    return token;
}

} // namespace jackdawweir::settings
