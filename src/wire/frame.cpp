#include "jackdawweir/wire/frame.h"

#include <array>

namespace jackdawweir::wire {

namespace {

constexpr std::size_t headerBytes = 5;
constexpr unsigned bitsPerByte = 8;

bool isKnown(std::uint8_t value)
{
    return value >= static_cast<std::uint8_t>(channel::Agreement)
        && value <= static_cast<std::uint8_t>(channel::Control);
}

} // namespace

std::string encodeFrame(channel target, std::string_view payload)
{
    std::string bytes;
    bytes.reserve(headerBytes + payload.size());
    const auto length = static_cast<std::uint32_t>(payload.size());
    for (int shift = 24; shift >= 0; shift -= static_cast<int>(bitsPerByte)) {
        bytes.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU));
    }
    bytes.push_back(static_cast<char>(target));
    bytes.append(payload);
    return bytes;
}

void frame_splitter::append(std::string_view bytes)
{
    if (m_offset > 0) {
        m_buffer.erase(0, m_offset);
        m_offset = 0;
    }
    m_buffer.append(bytes);
}

std::optional<frame> frame_splitter::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_offset);
    if (m_broken || rest.size() < headerBytes) {
        return std::nullopt;
    }
    std::uint32_t length = 0;
    for (std::size_t index = 0; index + 1 < headerBytes; ++index) {
        length = (length << bitsPerByte) | static_cast<std::uint8_t>(rest[index]);
    }
    const auto target = static_cast<std::uint8_t>(rest[headerBytes - 1]);
    if (length > maxFrameBytes || !isKnown(target)) {
        m_broken = true;
        return std::nullopt;
    }
    if (rest.size() < headerBytes + length) {
        return std::nullopt;
    }
    m_offset += headerBytes + length;
    return frame{static_cast<channel>(target), std::string(rest.substr(headerBytes, length))};
}

bool frame_splitter::isBroken() const
{
    return m_broken;
}

} // namespace jackdawweir::wire
