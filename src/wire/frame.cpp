#include "jackdawweir/wire/frame.h"

#include <boost/endian/buffers.hpp>

#include <cstring>
#include <utility>

namespace jackdawweir::wire {

namespace {

// The layout of a frame's header on the wire.
struct frame_header {
    boost::endian::big_uint32_buf_t payloadBytes;
    boost::endian::big_uint8_buf_t target;
    boost::endian::big_int64_buf_t wallMicros;
    boost::endian::big_uint32_buf_t counter;
};

static_assert(sizeof(frame_header) == frameHeaderBytes, "the header has no padding");

bool isKnownChannel(std::uint8_t value)
{
    return value >= static_cast<std::uint8_t>(channel::Agreement)
        && value <= static_cast<std::uint8_t>(channel::Forwarding);
}

} // namespace

std::string encodeFrame(channel target, const core::hybrid_time &sentAt, std::string_view payload)
{
    std::string bytes = encodeFrameHeader(target, sentAt, payload.size());
    bytes.append(payload);
    return bytes;
}

std::string
encodeFrameHeader(channel target, const core::hybrid_time &sentAt, std::size_t payloadBytes)
{
    frame_header header;
    header.payloadBytes = static_cast<std::uint32_t>(payloadBytes);
    header.target = static_cast<std::uint8_t>(target);
    header.wallMicros = sentAt.wallMicros;
    header.counter = sentAt.counter;
    std::string bytes(frameHeaderBytes, '\0');
    std::memcpy(bytes.data(), &header, frameHeaderBytes);
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
    const std::string_view unread = std::string_view(m_buffer).substr(m_offset);
    if (m_hasProtocolError || unread.size() < frameHeaderBytes) {
        return std::nullopt;
    }
    frame_header header;
    std::memcpy(&header, unread.data(), frameHeaderBytes);
    const std::size_t payloadBytes = header.payloadBytes.value();
    if (payloadBytes > maxPayloadBytes || !isKnownChannel(header.target.value())) {
        m_hasProtocolError = true;
        return std::nullopt;
    }
    if (unread.size() < frameHeaderBytes + payloadBytes) {
        m_buffer.reserve(m_offset + frameHeaderBytes + payloadBytes);
        return std::nullopt;
    }
    return frame{static_cast<channel>(header.target.value()),
                 core::hybrid_time{header.wallMicros.value(), header.counter.value()},
                 takePayload(payloadBytes)};
}

// The buffer becomes the payload of a large frame, so that its bytes are not held twice and the
// memory is not kept for the next frame.
std::string frame_splitter::takePayload(std::size_t payloadBytes)
{
    constexpr std::size_t largePayload = std::size_t{64} * 1024;
    m_offset += frameHeaderBytes;
    std::string payload;
    if (payloadBytes < largePayload || m_offset + payloadBytes != m_buffer.size()) {
        payload = m_buffer.substr(m_offset, payloadBytes);
        m_offset += payloadBytes;
    } else {
        payload = std::move(m_buffer);
        payload.erase(0, std::exchange(m_offset, 0));
        m_buffer = std::string();
    }
    return payload;
}

std::size_t frame_splitter::bufferedBytes() const
{
    return m_buffer.size() - m_offset;
}

bool frame_splitter::hasProtocolError() const
{
    return m_hasProtocolError;
}

} // namespace jackdawweir::wire
