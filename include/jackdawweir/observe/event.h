// Events of a process, which are written to the log and kept in the timeline.
//
//     logEvent(event_builder("configuration-applied", clock.next(wallNow))
//                  .version(version)
//                  .host(host, dataCentre)
//                  .step("apply")
//                  .field("resources", "12")
//                  .build());

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jackdawweir/core/config_version.h"
#include "jackdawweir/core/error.h"
#include "jackdawweir/core/hybrid_time.h"
#include "jackdawweir/core/names.h"

namespace jackdawweir::observe {

enum class log_level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

// Returns "debug", "info", "warning" or "error".
const char *toString(log_level level);

// Returns nothing when no level has this name.
std::optional<log_level> parseLogLevel(std::string_view name);

// An additional key=value pair of an event. Keys are lower case with hyphens.
struct event_field {
    std::string key;
    std::string value;

    friend bool operator==(const event_field &, const event_field &) = default;
};

struct event {
    log_level level = log_level::Info;
    // The kind of event, in lower case with hyphens.
    std::string name;
    core::hybrid_time time;
    // The configuration version in force; the default value when there is none.
    core::config_version version;
    core::host_name host;
    core::data_centre_name dataCentre;
    // Empty when no peer is involved.
    std::string peer;
    std::string step;
    std::vector<event_field> fields;

    friend bool operator==(const event &, const event &) = default;
};

class event_builder
{
public:
    event_builder(std::string name, core::hybrid_time time);

    event_builder &level(log_level level);
    event_builder &version(const core::config_version &version);
    event_builder &host(core::host_name host, core::data_centre_name dataCentre);
    event_builder &peer(std::string peer);
    event_builder &step(std::string step);
    event_builder &field(std::string key, std::string value);
    // Sets the step and peer to those of the error, adds its code and message as fields, and sets
    // the level to Error.
    event_builder &failure(const core::error &failure);
    event build() const;

private:
    event m_event;
};

// Returns the event as one line of key=value pairs. A value that is empty or contains a space, a
// quote, a backslash, "=", or a control or non-ASCII character is quoted and escaped, so that no
// value can forge a pair or a line.
std::string toLogLine(const event &logged);

// Returns the event as one line of JSON without a newline at the end. The time is the object
// {"wall-micros": N, "counter": N}.
std::string toJsonLine(const event &logged);

} // namespace jackdawweir::observe
