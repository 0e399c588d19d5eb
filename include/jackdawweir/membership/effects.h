// Effects: the actions that the state machines of this module return for their driver to perform,
// in order.

#pragma once

#include <string>
#include <variant>
#include <vector>

#include "jackdawweir/core/names.h"
#include "jackdawweir/membership/messages.h"

namespace jackdawweir::membership {

// Sends a message without guaranteed delivery. A message to the process's own endpoint is delivered
// to its own relay or node without using the network.
struct send_message {
    core::endpoint peer;
    message body;
};

// The set of selectable backend servers changed; the driver calls server_directory::eligible again.
struct directory_changed {
};

// Writes a log entry.
struct log_event {
    std::string step;
    core::endpoint peer;
    // The host, server or data centre that the entry is about.
    std::string subject;
};

using effect = std::variant<send_message, directory_changed, log_event>;

using effects = std::vector<effect>;

} // namespace jackdawweir::membership
