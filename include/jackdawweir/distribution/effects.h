// What the state machines of this module ask their driver to do, in order.
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

// Sends a message; it may be lost. A message to the process's own endpoint goes to its own relay or
// subscriber without the network.
struct send_message {
    core::endpoint peer;
    message body;
};

// Gives a newer, valid, not yet active configuration to the relay of this process, if it is one:
// call relay::hold.
struct hold_configuration {
    core::config_version version;
    std::shared_ptr<const document::resource_map> resources;
};

// Swaps the configuration that requests are routed by, and starts or keeps serving.
struct activate_configuration {
    std::shared_ptr<const document::configuration> activated;
};

enum class refusal_reason : std::uint8_t {
    NoVersionFloor, // Neither a majority of witnesses with memory nor a confirmed read answered.
    BelowVersionFloor, // The newest configuration at hand is older than the floor, or there is
                       // none.
    NoWitnessMajority, // No majority of the witnesses holds the configuration at hand.
};

const char *toString(refusal_reason reason);

// Serves no request until the next activate_configuration. Only a process that has activated
// nothing since its start refuses.
struct refuse_service {
    refusal_reason reason = refusal_reason::NoVersionFloor;
};

// Asks agreement for a confirmed read; the driver answers with publisher::completeRead.
struct confirm_read {
    std::uint64_t readId = 0;
};

// Logs what happened. The error names step and peer.
struct report_error {
    core::error failure;
};

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
