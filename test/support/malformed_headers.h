// Header lines that HTTP/1.1 does not allow, for tests of HTTP clients.

#pragma once

#include <string>
#include <vector>

#include <absl/strings/ascii.h>

namespace jackdawweir::test {

// Returns lines without a valid name, most of which would state a length of 2.
inline std::vector<std::string> headersWithAMalformedName()
{
    constexpr int bytes = 256;
    const std::string permitted = "!#$%&'*+-.^_`|~:";
    std::vector<std::string> lines{": 2"};
    for (int byte = 0; byte < bytes; ++byte) {
        if (absl::ascii_isalnum(static_cast<unsigned char>(byte))
            || permitted.find(static_cast<char>(byte)) != std::string::npos) {
            continue;
        }
        for (const std::size_t place : {std::size_t{0}, std::size_t{7}, std::size_t{14}}) {
            std::string name = "Content-Length";
            name.insert(place, 1, static_cast<char>(byte));
            lines.push_back(name + ": 2");
        }
    }
    lines.emplace_back("Content-Length");
    return lines;
}

inline std::vector<std::string> headersWithAControlByteInTheValue()
{
    constexpr int bytes = 256;
    std::vector<std::string> lines;
    for (int byte = 0; byte < bytes; ++byte) {
        if (byte != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(byte))) {
            lines.push_back(std::string("Note: a") + static_cast<char>(byte) + "b");
        }
    }
    return lines;
}

} // namespace jackdawweir::test
