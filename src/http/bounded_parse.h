// Feeds a message parser within bounds: a peer may send a message without end.

#pragma once

#include <cstdint>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

namespace jackdawweir::http::internal {

// Bytes of a body's framing that the parser may leave in the buffer until it has seen their end: a
// chunk's size and extensions, and all trailers.
constexpr std::size_t maxFramingBytes = std::size_t{16} * 1024;

// Feeds what the buffer holds until the message ends or more is needed. Errors: those of the
// parser; body_limit for a stated length above the limit, bad_chunk for framing without end.
template<typename Parser>
boost::system::error_code
feed(Parser &parser, boost::beast::flat_buffer &input, std::uint64_t maxBodyBytes)
{
    namespace beast_http = boost::beast::http;
    while (input.size() > 0 && !parser.is_done()) {
        // The parser allocates the stated length with the first part of the body, so it must not
        // see that before the length is checked.
        const bool hadHeader = parser.is_header_done();
        parser.eager(hadHeader);
        boost::system::error_code failure;
        input.consume(parser.put(input.data(), failure));
        if (failure == beast_http::error::need_more) {
            break;
        }
        if (failure) {
            return failure;
        }
        const bool isHeaderNew = !hadHeader && parser.is_header_done() && !parser.is_done();
        if (isHeaderNew && parser.content_length().value_or(0) > maxBodyBytes) {
            return beast_http::make_error_code(beast_http::error::body_limit);
        }
    }
    const bool isInBody = parser.is_header_done() && !parser.is_done();
    if (isInBody && input.size() > maxFramingBytes) {
        return beast_http::make_error_code(beast_http::error::bad_chunk);
    }
    return {};
}

} // namespace jackdawweir::http::internal
