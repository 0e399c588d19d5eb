// The head of a response as libcurl passes it on: line by line, with those of interim responses,
// and with trailers.
//
//     response_head head;
//     if (!head.readLine("HTTP/1.1 200 OK\r\n")) { ... }  // The line is malformed.
//     if (head.isComplete()) { use(head.status()); }

#pragma once

#include <cstdint>
#include <string_view>

#include "jackdawweir/proxy/http_message.h"

namespace jackdawweir::proxy::internal {

// libcurl accepts lines that HTTP/1.1 does not allow, such as a header whose name contains a blank,
// and then ignores what they state, such as the length of the body.
class response_head
{
public:
    // Reads the next line, including its line ending. Returns false if it is malformed.
    bool readLine(std::string_view line);

    // Returns true once the empty line after the headers of the final response was read.
    bool isComplete() const;

    // The status of the latest status line; 0 before the first.
    unsigned status() const;

    // The headers of the latest status line, and the trailers.
    const http_headers &headers() const;

private:
    enum class head_part : std::uint8_t {
        StatusLine,
        Headers,
        Trailers,
    };

    bool readStatusLine(std::string_view line);
    bool readHeader(std::string_view line);

    head_part m_next = head_part::StatusLine;
    unsigned m_status = 0;
    http_headers m_headers;
};

} // namespace jackdawweir::proxy::internal
