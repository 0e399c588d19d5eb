// Encodes message variants with msgpack as [alternative index, message].
//
//     using message = std::variant<heartbeat, heartbeat_reply>;
//     const std::string bytes = encode(message{heartbeat{...}});
//     core::result<message> received = decode<message>(bytes, peer);
//
// The index identifies the alternative, so new alternatives must be added at the end of a variant.

#pragma once

#include <cstddef>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <msgpack.hpp>

#include "jackdawweir/core/error.h"
#include "jackdawweir/core/names.h"
#include "jackdawweir/wire/chrono_adaptor.h"

namespace jackdawweir::wire {

namespace internal {

// Collects packed bytes in a string, so that they are not copied again.
class string_writer
{
public:
    void write(const char *bytes, std::size_t size)
    {
        m_bytes.append(bytes, size);
    }

    std::string take()
    {
        return std::move(m_bytes);
    }

private:
    std::string m_bytes;
};

// Unpacks bytes that outlive the result, which refers to them.
inline msgpack::object_handle unpackInPlace(std::string_view bytes)
{
    const auto refer = [](msgpack::type::object_type, std::size_t, void *) {
        return true;
    };
    return msgpack::unpack(bytes.data(), bytes.size(), refer);
}

template<typename Variant, std::size_t Index = 0>
Variant convertAlternative(std::uint32_t wantedIndex, const msgpack::object &body)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (wantedIndex != Index) {
            return convertAlternative<Variant, Index + 1>(wantedIndex, body);
        }
        std::variant_alternative_t<Index, Variant> message;
        body.convert(message);
        return Variant(std::in_place_index<Index>, std::move(message));
    } else {
        throw msgpack::type_error();
    }
}

inline core::error decodeError(const core::endpoint &peer, const char *reason)
{
    return core::error{core::error_code::DataLoss, "decode-message", peer.value, reason};
}

} // namespace internal

template<typename... Alternatives>
std::string encode(const std::variant<Alternatives...> &message)
{
    internal::string_writer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(message.index()));
    std::visit([&packer](const auto &body) { packer.pack(body); }, message);
    return buffer.take();
}

// Returns the message in `bytes`. Errors: DataLoss, naming the peer, if the bytes are not a valid
// message of this variant.
template<typename Variant>
core::result<Variant> decode(std::string_view bytes, const core::endpoint &peer)
{
    try {
        const msgpack::object_handle handle = internal::unpackInPlace(bytes);
        const msgpack::object &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
            return internal::decodeError(peer, "expected an array of two elements");
        }
        const auto index = object.via.array.ptr[0].as<std::uint32_t>();
        return internal::convertAlternative<Variant>(index, object.via.array.ptr[1]);
    } catch (const std::exception &failure) {
        return internal::decodeError(peer, failure.what());
    }
}

// Returns the encoding of a value that is not a variant, for records in files.
template<typename Value>
std::string encodeValue(const Value &value)
{
    internal::string_writer buffer;
    msgpack::pack(buffer, value);
    return buffer.take();
}

// Returns the value in `bytes`. Errors: DataLoss.
template<typename Value>
core::result<Value> decodeValue(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = internal::unpackInPlace(bytes);
        Value value;
        handle.get().convert(value);
        return value;
    } catch (const std::exception &failure) {
        return internal::decodeError(core::endpoint{}, failure.what());
    }
}

} // namespace jackdawweir::wire
