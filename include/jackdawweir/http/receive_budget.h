// Bounds the memory of all responses that are being received side by side: servers in trouble may
// send large bodies on every connection at once.
//
//     receive_budget shared(24U << 20U);
//     if (!shared.hold(bytes, ofThisResponse)) { ... }   // give this response up
//     shared.release(ofThisResponse);

#pragma once

#include <cstdint>

namespace jackdawweir::http {

class receive_budget
{
public:
    explicit receive_budget(std::uint64_t limit)
        : m_limit(limit)
    {
    }

    // Adds bytes of a response that holds `held` with them. Returns false where that is too much:
    // small responses pass also while large ones take up the limit.
    bool hold(std::uint64_t bytes, std::uint64_t held)
    {
        constexpr std::uint64_t alwaysAllowed = 1U << 20U;
        m_held += bytes;
        return m_held <= m_limit || held <= alwaysAllowed;
    }

    void release(std::uint64_t held)
    {
        m_held -= held;
    }

    std::uint64_t held() const
    {
        return m_held;
    }

private:
    std::uint64_t m_limit;
    std::uint64_t m_held = 0;
};

} // namespace jackdawweir::http
