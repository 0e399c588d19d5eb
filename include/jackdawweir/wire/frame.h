// Frames of the mesh port: a four-byte big-endian length, a one-byte channel, the sender's hybrid
// time, then the message.
//
//     frame_splitter splitter;
//     splitter.append(receivedBytes);
//     while (std::optional<frame> next = splitter.next()) { ... }

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jackdawweir/core/hybrid_time.h"

namespace jackdawweir::wire {

// The protocol that a frame belongs to.
enum class channel : std::uint8_t {
    Agreement = 1,
    Distribution = 2,
    Membership = 3,
    Moves = 4,
    Ledger = 5,
    Control = 6,
    Fleet = 7,
    Forwarding = 8,
};

struct frame {
    channel target = channel::Control;
    // Lets the receiver order its later events after those that the sender had seen.
    core::hybrid_time sentAt;
    std::string payload;
};

// The size of the header that precedes the payload.
constexpr std::size_t frameHeaderBytes = 17;

// The largest valid payload; a greater length is a protocol error of the peer. The largest message
// is a whole snapshot.
constexpr std::size_t maxPayloadBytes = 16U << 20U;

std::string encodeFrame(channel target, const core::hybrid_time &sentAt, std::string_view payload);

// Returns the header of a frame, which its payload follows.
std::string
encodeFrameHeader(channel target, const core::hybrid_time &sentAt, std::size_t payloadBytes);

// Splits a byte stream into frames.
class frame_splitter
{
public:
    void append(std::string_view bytes);

    // Returns the next complete frame, or std::nullopt if more bytes are needed or the stream is
    // broken.
    std::optional<frame> next();

    // Returns true once a length above maxPayloadBytes or an unknown channel was read. The caller
    // must then close the connection.
    bool hasProtocolError() const;

    // Returns the number of bytes that are kept for a frame that is not complete.
    std::size_t bufferedBytes() const;

private:
    std::string takePayload(std::size_t payloadBytes);

    std::string m_buffer;
    std::size_t m_offset = 0;
    bool m_hasProtocolError = false;
};

} // namespace jackdawweir::wire
