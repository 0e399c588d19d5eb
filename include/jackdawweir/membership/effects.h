// What the state machines of this module ask their driver to do, in order.

#pragma once

#include <string>
#include <variant>
#include <vector>

#include "jackdawweir/core/names.h"
#include "jackdawweir/membership/messages.h"

namespace jackdawweir::membership {

// Sends a message; it may be lost. A message to the process's own endpoint goes to its own relay or
// node without the network.
struct send_message {
    core::endpoint peer;
    message body;
};

// The backend servers to choose from changed; read server_directory::eligible again.
struct directory_changed {
};

// Logs what happened.
struct log_event {
    std::string step;
    core::endpoint peer;
    // The host, server or data centre concerned.
    std::string subject;
};

using effect = std::variant<send_message, directory_changed, log_event>;

using effects = std::vector<effect>;

} // namespace jackdawweir::membership
