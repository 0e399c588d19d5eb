#include "proxy/response_head.h"

#include <algorithm>
#include <string>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

namespace jackdawweir::proxy::internal {

namespace {

constexpr unsigned firstFinalStatus = 200;

// A byte of a token of RFC 9110, section 5.6.2.
bool isTokenByte(char byte)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(byte))
        || symbols.find(byte) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenByte);
}

bool hasControlByte(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char byte) {
        return byte != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(byte));
    });
}

} // namespace

bool response_head::readLine(std::string_view line)
{
    constexpr std::string_view lineEnd = "\r\n";
    if (!line.ends_with(lineEnd)) {
        return false;
    }
    line.remove_suffix(lineEnd.size());
    if (hasControlByte(line)) {
        return false;
    }
    if (m_next == head_part::StatusLine) {
        return readStatusLine(line);
    }
    if (!line.empty()) {
        return readHeader(line);
    }
    const bool isInterim = m_status < firstFinalStatus;
    m_next = isInterim ? head_part::StatusLine : head_part::Trailers;
    return true;
}

bool response_head::readStatusLine(std::string_view line)
{
    constexpr std::size_t statusOffset = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t statusDigits = 3;
    if (!line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.0 ")) {
        return false;
    }
    const std::string digits(line.substr(statusOffset, statusDigits));
    const std::string_view reason = line.substr(statusOffset + digits.size());
    const bool isStatus = digits.size() == statusDigits
        && std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit);
    if (!isStatus || !(reason.empty() || reason.front() == ' ')) {
        return false;
    }
    // Headers of an interim response are dropped.
    m_headers.clear();
    m_next = head_part::Headers;
    return absl::SimpleAtoi(digits, &m_status);
}

bool response_head::readHeader(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || !isToken(name)) {
        return false;
    }
    std::string value(line.substr(colon + 1));
    absl::StripAsciiWhitespace(&value);
    m_headers.push_back(http_header{std::string(name), std::move(value)});
    return true;
}

bool response_head::isComplete() const
{
    return m_next == head_part::Trailers;
}

unsigned response_head::status() const
{
    return m_status;
}

const http_headers &response_head::headers() const
{
    return m_headers;
}

} // namespace jackdawweir::proxy::internal
