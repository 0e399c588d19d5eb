// Checks the text of network addresses that come from outside: settings and announcements.
//
//     if (!isAddressAndPort(endpoint.value)) { /* refuse it */ }

#pragma once

#include <string>

namespace jackdawweir::core {

// Returns true for an IPv4 address, or an IPv6 address in brackets, with a port from 1 to 65535.
bool isAddressAndPort(const std::string &text);

} // namespace jackdawweir::core
