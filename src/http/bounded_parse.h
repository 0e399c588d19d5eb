// Parses a message within size limits, since a peer may send a message without end.

#pragma once

#include <cstdint>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

namespace jackdawweir::http::internal {

// The limit for framing bytes of a body that the parser leaves in the buffer until they are
// complete: a chunk's size and extensions, or all trailers.
constexpr std::size_t maxFramingBytes = std::size_t{16} * 1024;

// Parses the buffered bytes until the message is complete or more input is needed. Errors: those of
// the parser; body_limit for a Content-Length above the limit, bad_chunk for unterminated framing.
template<typename Parser>
boost::system::error_code
feed(Parser &parser, boost::beast::flat_buffer &input, std::uint64_t maxBodyBytes)
{
    namespace beast_http = boost::beast::http;
    while (input.size() > 0 && !parser.is_done()) {
        // The parser allocates Content-Length bytes when it gets the first part of the body, so the
        // length is checked before the body is passed to it.
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
