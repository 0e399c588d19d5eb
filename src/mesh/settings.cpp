#include "jackdawweir/mesh/settings.h"

#include <cmath>
#include <fstream>
#include <iterator>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "jackdawweir/document/yaml_reader.h"
#include "jackdawweir/transport/mesh_transport.h"

namespace jackdawweir::mesh {

namespace {

using document::yaml_field;
using document::yaml_reader;
using std::chrono::milliseconds;

constexpr document::yaml_bounds settingsBounds{1U << 20U, 8, 20'000};
constexpr const char *fileStep = "read-settings";
constexpr double mostSeconds = 3600;
constexpr double mostRatio = 10;
constexpr double mostAllowance = 1e6;

core::endpoint readAddress(const yaml_field &field)
{
    core::endpoint address{field.text()};
    if (core::errorIn(transport::parseEndpoint(address)) != nullptr) {
        field.fail("expected IP:PORT");
    }
    return address;
}

double readDecimal(const yaml_field &field, double most)
{
    double value = 0;
    if (!absl::SimpleAtod(field.text(), &value) || !std::isfinite(value) || value < 0
        || value > most) {
        field.fail(absl::StrCat("expected a number from 0 to ",
                                most,
                                ", not ",
                                document::quoteForMessage(field.text())));
        return 0;
    }
    return value;
}

milliseconds readSeconds(const yaml_field &field)
{
    constexpr double millisPerSecond = 1000;
    return milliseconds(std::llround(readDecimal(field, mostSeconds) * millisPerSecond));
}

// The sources share the port of the own mesh address, so that the addresses that operators know are
// enough to find them.
core::endpoint meshAddressOf(const core::endpoint &source, const core::endpoint &ownMesh)
{
    const std::string host = source.value.substr(0, source.value.rfind(':'));
    return core::endpoint{host + ownMesh.value.substr(ownMesh.value.rfind(':'))};
}

node_settings readNode(const yaml_field &field)
{
    field.expectMapping({"callers", "readiness", "service"}, {});
    return node_settings{readAddress(field.at("callers")),
                         readAddress(field.at("readiness")),
                         core::service_name{field.at("service").text()}};
}

source_settings readSource(const yaml_field &field)
{
    field.expectMapping({"data-folder", "bootstrap"}, {});
    return source_settings{field.at("data-folder").text(), field.at("bootstrap").boolean()};
}

observe::log_level readLevel(const yaml_field &field)
{
    const std::optional<observe::log_level> level = observe::parseLogLevel(field.text());
    if (!level) {
        field.fail("expected debug, info, warning or error");
    }
    return level.value_or(observe::log_level::Info);
}

void readLimits(const yaml_field &top, mesh_settings &read)
{
    const auto seconds = [&](const char *key, milliseconds &value) {
        if (top.has(key)) {
            value = readSeconds(top.at(key));
        }
    };
    seconds("drain-seconds", read.drainTime);
    seconds("shutdown-seconds", read.shutdownTimeout);
    seconds("retry-window-seconds", read.retryWindow);
    if (top.has("retry-ratio")) {
        read.retryRatio = readDecimal(top.at("retry-ratio"), mostRatio);
    }
    if (top.has("retry-allowance")) {
        read.retryAllowance = readDecimal(top.at("retry-allowance"), mostAllowance);
    }
    if (top.has("log-level")) {
        read.logLevel = readLevel(top.at("log-level"));
    }
}

mesh_settings readTop(const yaml_field &top)
{
    top.expectMapping({"host", "data-centre", "operators", "mesh", "sources"},
                      {"node",
                       "source",
                       "metrics",
                       "drain-seconds",
                       "shutdown-seconds",
                       "retry-ratio",
                       "retry-allowance",
                       "retry-window-seconds",
                       "log-level"});
    mesh_settings read;
    read.host.value = top.at("host").text();
    read.dataCentre.value = top.at("data-centre").text();
    read.operators = readAddress(top.at("operators"));
    read.mesh = readAddress(top.at("mesh"));
    for (const yaml_field &item : top.at("sources").items()) {
        read.sources.push_back(meshAddressOf(readAddress(item), read.mesh));
    }
    if (top.has("metrics")) {
        read.metrics = readAddress(top.at("metrics"));
    }
    if (top.has("node")) {
        read.node = readNode(top.at("node"));
    }
    if (top.has("source")) {
        read.source = readSource(top.at("source"));
    }
    if (read.node.has_value() == read.source.has_value()) {
        top.fail("expected either node or source");
    }
    readLimits(top, read);
    return read;
}

} // namespace

core::result<mesh_settings> parseMeshSettings(std::string_view yaml, const std::string &fileName)
{
    yaml_reader reader(fileStep, fileName);
    mesh_settings read = readTop(reader.open(yaml, settingsBounds));
    if (const core::error *failure = reader.failure()) {
        return *failure;
    }
    return read;
}

core::result<std::string> readSettingsText(const std::string &path)
{
    std::ifstream input(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(input), {});
    if (!input.is_open() || input.bad()) {
        return core::error{core::error_code::NotFound,
                           fileStep,
                           "",
                           absl::StrCat(path, ":1: file: it cannot be read")};
    }
    return text;
}

core::result<mesh_settings> readMeshSettings(const std::string &path)
{
    const core::result<std::string> text = readSettingsText(path);
    if (const core::error *failure = core::errorIn(text)) {
        return *failure;
    }
    return parseMeshSettings(core::valueIn(text), path);
}

} // namespace jackdawweir::mesh
