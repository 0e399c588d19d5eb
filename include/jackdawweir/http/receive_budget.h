// Limits the memory of all responses that are being received concurrently: faulty servers may send
// large bodies on every connection at once.
//
//     receive_budget budget(24U << 20U);
//     if (!budget.reserve(bytes, responseBytes)) { ... }   // abandon this response
//     budget.release(responseBytes);

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

    // Reserves bytes for a response that then has `responseBytes` in total. Returns false if the
    // limit is exceeded; the bytes are counted nevertheless and have to be released. A small
    // response is always allowed, so that large ones can't block it.
    bool reserve(std::uint64_t bytes, std::uint64_t responseBytes)
    {
        constexpr std::uint64_t alwaysAllowed = 1U << 20U;
        m_reserved += bytes;
        return m_reserved <= m_limit || responseBytes <= alwaysAllowed;
    }

    void release(std::uint64_t responseBytes)
    {
        m_reserved -= responseBytes;
    }

    std::uint64_t reserved() const
    {
        return m_reserved;
    }

private:
    std::uint64_t m_limit;
    std::uint64_t m_reserved = 0;
};

} // namespace jackdawweir::http
