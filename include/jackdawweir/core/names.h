// Distinct string types for the names of hosts, data centres, services and so on, so that one
// cannot be passed for another:
//
//     const service_name service{"quotes"};
//     const version_name version{"v2"};

#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>

#include <msgpack.hpp>

namespace jackdawweir::core {

template<typename Tag>
struct tagged_name {
    std::string value;

    bool empty() const
    {
        return value.empty();
    }

    friend auto operator<=>(const tagged_name &, const tagged_name &) = default;

    friend std::ostream &operator<<(std::ostream &out, const tagged_name &name)
    {
        return out << name.value;
    }

    template<typename HashState>
    friend HashState AbslHashValue(HashState state, const tagged_name &name)
    {
        return HashState::combine(std::move(state), name.value);
    }

    // Encodes the name as a plain msgpack string.
    template<typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        packer.pack(value);
    }

    void msgpack_unpack(const msgpack::object &object)
    {
        object.convert(value);
    }
};

// A region: a group of data centres that a network fault can disconnect from other regions.
using region_name = tagged_name<struct region_tag>;
using data_centre_name = tagged_name<struct data_centre_tag>;
// The name of a host; the node and source processes on it go by the same name.
using host_name = tagged_name<struct host_tag>;
// An IP address and port, for example "127.0.1.1:7001".
using endpoint = tagged_name<struct endpoint_tag>;
using service_name = tagged_name<struct service_tag>;
// The name of a backend server version, for example "v2".
using version_name = tagged_name<struct version_tag>;
using route_name = tagged_name<struct route_tag>;
// Chosen by the operator's tool for one submission; a retry carries the same id.
using submission_id = tagged_name<struct submission_tag>;
using operator_name = tagged_name<struct operator_tag>;
// A caller's key for one non-idempotent request; a retry carries the same key.
using request_key = tagged_name<struct request_key_tag>;

} // namespace jackdawweir::core

template<typename Tag>
struct std::hash<jackdawweir::core::tagged_name<Tag>> {
    std::size_t operator()(const jackdawweir::core::tagged_name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value);
    }
};
