// Effects: the actions that the state machines of this module return for their driver to perform,
// in order.
//
//     for (const effect &each : subscriber.handle(peer, received, clock.monotonicNow())) {
//         std::visit(driver, each);
//     }

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/distribution/messages.h"
#include "jackdawweir/document/configuration.h"

namespace jackdawweir::distribution {

// Sends a message without guaranteed delivery. A message to the process's own endpoint is delivered
// to its own relay or subscriber without using the network.
struct send_message {
    core::endpoint peer;
    message body;
};

// Passes a newer, valid, not yet active configuration to the relay of this process, if it runs one:
// the driver calls relay::hold.
struct hold_configuration {
    core::config_version version;
    std::shared_ptr<const document::resource_map> resources;
};

// Replaces the configuration that requests are routed by, and starts serving if
// requests were refused.
struct activate_configuration {
    std::shared_ptr<const document::configuration> activated;
};

enum class refusal_reason : std::uint8_t {
    NoVersionFloor, // No reply from a majority of witnesses with memory or from a confirmed read.
    BelowVersionFloor, // The newest held configuration is older than the floor, or there is none.
    NoWitnessMajority, // No majority of the witnesses holds the newest held configuration.
};

const char *toString(refusal_reason reason);

// Refuses all requests until the next activate_configuration. It is emitted only while the process
// has not activated any configuration since its start.
struct refuse_service {
    refusal_reason reason = refusal_reason::NoVersionFloor;
};

// Starts a confirmed read in agreement; the driver passes the result to publisher::completeRead.
struct confirm_read {
    std::uint64_t readId = 0;
};

// Logs an error, which contains the step and the peer.
struct report_error {
    core::error failure;
};

// Writes a log entry.
struct log_event {
    std::string step;
    core::endpoint peer;
    core::config_version version;
};

using effect = std::variant<send_message,
                            hold_configuration,
                            activate_configuration,
                            refuse_service,
                            confirm_read,
                            report_error,
                            log_event>;

using effects = std::vector<effect>;

} // namespace jackdawweir::distribution
