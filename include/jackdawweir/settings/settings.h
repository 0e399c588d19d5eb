// The settings of one daemon, read from YAML as strictly as documents: unknown, duplicate and
// missing keys and values of the wrong type are errors.
//
//     core::result<daemon_settings> read = readSettings("/etc/jackdawweir/host-1.yaml");
//     if (const core::error *failure = core::errorIn(read)) {
//         std::cerr << failure->message << '\n';   // FILE:LINE: FIELD: what is wrong
//         return exitCodeForSettings;
//     }

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/observe/event.h"

namespace jackdawweir::settings {

// The exit code of a program that refuses its settings.
constexpr int exitCodeForSettings = 2;

struct data_centre_settings {
    core::data_centre_name name;
    core::region_name region;
    // The mesh endpoints of the hosts that may be relays of this data centre.
    std::vector<core::endpoint> relayCandidates;

    friend bool operator==(const data_centre_settings &, const data_centre_settings &) = default;
};

// Present on hosts that run a source replica.
struct source_settings {
    // The mesh endpoint of the source; it differs from that of the node on the same host.
    core::endpoint mesh;
    std::string dataFolder;
    // Makes this source the only voter at its first start. Meant for tests and the demo.
    bool bootstrap = false;

    friend bool operator==(const source_settings &, const source_settings &) = default;
};

struct limit_settings {
    // The maximum duration of a graceful shutdown.
    std::chrono::milliseconds shutdownTimeout{30'000};

    friend bool operator==(const limit_settings &, const limit_settings &) = default;
};

struct daemon_settings {
    core::host_name host;
    core::region_name region;
    core::data_centre_name dataCentre;
    core::endpoint callers;
    core::endpoint operators;
    core::endpoint mesh;
    std::vector<data_centre_settings> dataCentres;
    // The mesh endpoints of all sources.
    std::vector<core::endpoint> sources;
    std::optional<source_settings> source;
    std::string operatorTokenFile;
    observe::log_level logLevel = observe::log_level::Info;
    limit_settings limits;

    friend bool operator==(const daemon_settings &, const daemon_settings &) = default;

    // Returns nullptr if the settings do not list the data centre.
    const data_centre_settings *findDataCentre(const core::data_centre_name &name) const;
};

// Builds settings in code. build() applies the same validation rules as parseSettings.
class daemon_settings_builder
{
public:
    daemon_settings_builder &host(std::string name, std::string region, std::string dataCentre);
    daemon_settings_builder &callers(std::string address);
    daemon_settings_builder &operators(std::string address);
    daemon_settings_builder &mesh(std::string address);
    daemon_settings_builder &addDataCentre(data_centre_settings added);
    daemon_settings_builder &addSource(std::string address);
    daemon_settings_builder &source(source_settings source);
    daemon_settings_builder &operatorTokenFile(std::string path);
    daemon_settings_builder &logLevel(observe::log_level level);
    daemon_settings_builder &limits(limit_settings limits);

    // Errors: InvalidArgument with "FIELD: what is wrong".
    core::result<daemon_settings> build() const;

private:
    daemon_settings m_settings;
};

// Reads settings from YAML text. Errors: InvalidArgument with "FILE:LINE: FIELD: what is wrong".
core::result<daemon_settings> parseSettings(std::string_view yaml, const std::string &fileName);

// Reads a settings file. Errors: those of parseSettings; NotFound if the file cannot be read.
core::result<daemon_settings> readSettings(const std::string &path);

// Returns YAML text from which parseSettings reads equal settings.
std::string toYaml(const daemon_settings &written);

// Reads the operator token: the first line of the file, at least 16 characters. Errors: NotFound,
// InvalidArgument.
core::result<std::string> readOperatorToken(const std::string &path);

} // namespace jackdawweir::settings
