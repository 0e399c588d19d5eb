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
constexpr double maxSeconds = 3600;
constexpr double maxRatio = 10;
constexpr double maxExposureRatio = 1;
constexpr double maxAllowance = 1e6;
// The half of it that requests may take holds the largest request that a node forwards.
constexpr std::uint32_t minHeldMib = 32;
constexpr std::uint32_t minMemoryMib = 80;
constexpr std::uint32_t maxMemoryMib = 1U << 20U;
constexpr std::uint32_t minConnections = 16;
constexpr std::uint32_t maxConnections = 100'000;

// The part of the memory that is held for callers. The rest is for the process itself and for
// copies of a message that is being passed on.
constexpr std::uint64_t heldParts = 2;
constexpr std::uint64_t memoryParts = 5;

std::uint64_t toBytes(std::uint64_t mebibytes)
{
    constexpr unsigned mebibyteShift = 20;
    return mebibytes << mebibyteShift;
}

core::endpoint readAddress(const yaml_field &field)
{
    core::endpoint address{field.text()};
    if (core::errorIn(transport::parseEndpoint(address)) != nullptr) {
        field.fail("expected IP:PORT");
    }
    return address;
}

double readDecimal(const yaml_field &field, double maximum)
{
    double value = 0;
    if (!absl::SimpleAtod(field.text(), &value) || !std::isfinite(value) || value < 0
        || value > maximum) {
        field.fail(absl::StrCat("expected a number from 0 to ",
                                maximum,
                                ", not ",
                                document::quoteForMessage(field.text())));
        return 0;
    }
    return value;
}

milliseconds readSeconds(const yaml_field &field)
{
    constexpr double millisPerSecond = 1000;
    return milliseconds(std::llround(readDecimal(field, maxSeconds) * millisPerSecond));
}

// Returns the mesh address of a source from the address that operators use for it. All sources use
// the port of this process's mesh address, so the addresses that operators know are enough.
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

caller_bounds readCallerBounds(const yaml_field &root)
{
    caller_bounds bounds;
    if (root.has("memory-mib")) {
        bounds.memoryBytes = toBytes(root.at("memory-mib").number(minMemoryMib, maxMemoryMib));
        bounds.heldBytes = bounds.memoryBytes / memoryParts * heldParts;
    }
    if (root.has("caller-memory-mib")) {
        bounds.heldBytes = toBytes(root.at("caller-memory-mib").number(minHeldMib, maxMemoryMib));
        if (bounds.heldBytes > bounds.memoryBytes) {
            root.at("caller-memory-mib").fail("expected no more than memory-mib");
        }
    }
    if (root.has("caller-connections")) {
        bounds.callerConnections
            = root.at("caller-connections").number(minConnections, maxConnections);
    }
    if (root.has("control-connections")) {
        bounds.controlConnections
            = root.at("control-connections").number(minConnections, maxConnections);
    }
    return bounds;
}

void readLimits(const yaml_field &root, mesh_settings &settings)
{
    const auto seconds = [&](const char *key, milliseconds &value) {
        if (root.has(key)) {
            value = readSeconds(root.at(key));
        }
    };
    seconds("drain-seconds", settings.drainTime);
    seconds("shutdown-seconds", settings.shutdownTimeout);
    seconds("retry-window-seconds", settings.retryWindow);
    if (root.has("retry-ratio")) {
        settings.retryRatio = readDecimal(root.at("retry-ratio"), maxRatio);
    }
    if (root.has("retry-allowance")) {
        settings.retryAllowance = readDecimal(root.at("retry-allowance"), maxAllowance);
    }
    if (root.has("rollout-exposure-ratio")) {
        settings.rolloutExposureRatio
            = readDecimal(root.at("rollout-exposure-ratio"), maxExposureRatio);
    }
    if (root.has("rollout-exposure-allowance")) {
        settings.rolloutExposureAllowance
            = readDecimal(root.at("rollout-exposure-allowance"), maxAllowance);
    }
    if (root.has("quota-margin")) {
        settings.quotaMargin = readDecimal(root.at("quota-margin"), maxAllowance);
    }
    settings.callerBounds = readCallerBounds(root);
    if (root.has("log-level")) {
        settings.logLevel = readLevel(root.at("log-level"));
    }
}

mesh_settings readRoot(const yaml_field &root)
{
    root.expectMapping({"host", "data-centre", "operators", "mesh", "sources"},
                       {"node",
                        "source",
                        "mesh-listen",
                        "metrics",
                        "drain-seconds",
                        "shutdown-seconds",
                        "retry-ratio",
                        "retry-allowance",
                        "retry-window-seconds",
                        "rollout-exposure-ratio",
                        "rollout-exposure-allowance",
                        "quota-margin",
                        "memory-mib",
                        "caller-memory-mib",
                        "caller-connections",
                        "control-connections",
                        "log-level"});
    mesh_settings settings;
    settings.host.value = root.at("host").text();
    settings.dataCentre.value = root.at("data-centre").text();
    settings.operators = readAddress(root.at("operators"));
    settings.mesh = readAddress(root.at("mesh"));
    for (const yaml_field &item : root.at("sources").items()) {
        settings.sources.push_back(meshAddressOf(readAddress(item), settings.mesh));
    }
    if (root.has("mesh-listen")) {
        settings.meshListen = readAddress(root.at("mesh-listen"));
    }
    if (root.has("metrics")) {
        settings.metrics = readAddress(root.at("metrics"));
    }
    if (root.has("node")) {
        settings.node = readNode(root.at("node"));
    }
    if (root.has("source")) {
        settings.source = readSource(root.at("source"));
    }
    if (settings.node.has_value() == settings.source.has_value()) {
        root.fail("expected either node or source");
    }
    readLimits(root, settings);
    return settings;
}

} // namespace

core::result<mesh_settings> parseMeshSettings(std::string_view yaml, const std::string &fileName)
{
    yaml_reader reader(fileStep, fileName);
    mesh_settings settings = readRoot(reader.open(yaml, settingsBounds));
    if (const core::error *failure = reader.failure()) {
        return *failure;
    }
    return settings;
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
