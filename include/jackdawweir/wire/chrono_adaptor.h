// msgpack adaptors: durations and wall times are encoded as a signed count of nanoseconds.

#pragma once

#include <chrono>
#include <cstdint>

#include <msgpack.hpp>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template<typename Rep, typename Period>
    struct convert<std::chrono::duration<Rep, Period>> {
        const msgpack::object &operator()(const msgpack::object &object,
                                          std::chrono::duration<Rep, Period> &value) const
        {
            value = std::chrono::duration_cast<std::chrono::duration<Rep, Period>>(
                std::chrono::nanoseconds(object.as<std::int64_t>()));
            return object;
        }
    };

    template<typename Rep, typename Period>
    struct pack<std::chrono::duration<Rep, Period>> {
        template<typename Stream>
        msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &packer,
                                            const std::chrono::duration<Rep, Period> &value) const
        {
            const std::int64_t nanoseconds
                = std::chrono::duration_cast<std::chrono::nanoseconds>(value).count();
            return packer.pack(nanoseconds);
        }
    };

    template<typename Duration>
    struct convert<std::chrono::time_point<std::chrono::system_clock, Duration>> {
        using time_point = std::chrono::time_point<std::chrono::system_clock, Duration>;

        const msgpack::object &operator()(const msgpack::object &object, time_point &value) const
        {
            value = time_point(std::chrono::duration_cast<Duration>(
                std::chrono::nanoseconds(object.as<std::int64_t>())));
            return object;
        }
    };

    template<typename Duration>
    struct pack<std::chrono::time_point<std::chrono::system_clock, Duration>> {
        template<typename Stream>
        msgpack::packer<Stream> &
        operator()(msgpack::packer<Stream> &packer,
                   const std::chrono::time_point<std::chrono::system_clock, Duration> &value) const
        {
            return packer.pack(value.time_since_epoch());
        }
    };

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack
