// One budget of bytes for everything that a process holds for callers. A holder states what it
// holds through a claim, which is released with it.
//
//     auto budget = std::make_shared<memory_budget>(64U << 20U);
//     memory_claim body(budget, memory_use::CallerRequest);
//     body.resize(1'000);
//     if (!budget->permits(memory_use::ServedRequest, bytes)) { ... }   // refuse the request
//
// A claim is never refused: the holder asks before, or the exceeded-handler frees memory after. Not
// thread-safe.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace jackdawweir::core {

enum class memory_use : std::uint8_t {
    CallerRequest, // Requests of callers, from their first byte until they are answered.
    CallerResponse, // Responses that callers have not taken yet.
    ServedRequest, // Requests of other nodes that wait for or run at a backend server.
    ServerResponse, // Responses that are being received from backend servers.
    LinkFrame, // Frames on their way to or from other processes.
};

constexpr std::size_t memoryUseCount = static_cast<std::size_t>(memory_use::LinkFrame) + 1;

class memory_budget
{
public:
    explicit memory_budget(std::uint64_t limit)
        : m_limit(limit)
    {
    }

    std::uint64_t limit() const
    {
        return m_limit;
    }

    std::uint64_t used() const
    {
        return m_used;
    }

    std::uint64_t used(memory_use use) const
    {
        return m_usedFor[static_cast<std::size_t>(use)];
    }

    // Returns whether a holder of `ownBytes` may hold this many bytes more. A holder that is
    // nearly alone is always permitted, whatever its size, so that no single message is refused.
    bool permits(memory_use use, std::uint64_t bytes, std::uint64_t ownBytes = 0) const
    {
        constexpr std::uint64_t nearlyUnusedParts = 16;
        const bool isNearlyUnused = used(use) - ownBytes <= share(use) / nearlyUnusedParts;
        return isNearlyUnused || used(use) + bytes <= share(use);
    }

    bool exceedsShare(memory_use use) const
    {
        return used(use) > share(use);
    }

    bool isExceeded() const
    {
        return m_used > m_limit;
    }

    // The handler is called whenever a claim grows beyond the share of its use or the limit.
    void onExceeded(std::function<void()> handler)
    {
        m_exceededHandler = std::move(handler);
    }

private:
    friend class memory_claim;

    // Responses of callers may use everything, since they can be given up at any time. Requests
    // leave room for the responses to them.
    std::uint64_t share(memory_use use) const
    {
        constexpr std::uint64_t requestParts = 2;
        constexpr std::uint64_t otherParts = 4;
        switch (use) {
        case memory_use::CallerResponse:
            return m_limit;
        case memory_use::CallerRequest:
            return m_limit / requestParts;
        default:
            return m_limit / otherParts;
        }
    }

    void change(memory_use use, std::uint64_t from, std::uint64_t to)
    {
        std::uint64_t &usedFor = m_usedFor[static_cast<std::size_t>(use)];
        usedFor = usedFor - from + to;
        m_used = m_used - from + to;
        if (to > from && m_exceededHandler && (exceedsShare(use) || isExceeded())) {
            m_exceededHandler();
        }
    }

    std::uint64_t m_limit;
    std::uint64_t m_used = 0;
    std::array<std::uint64_t, memoryUseCount> m_usedFor{};
    std::function<void()> m_exceededHandler;
};

// The bytes of one holder. Without a budget, it only counts.
class memory_claim
{
public:
    memory_claim() = default;

    memory_claim(std::shared_ptr<memory_budget> budget, memory_use use)
        : m_budget(std::move(budget))
        , m_use(use)
    {
    }

    ~memory_claim()
    {
        resize(0);
    }

    memory_claim(const memory_claim &) = delete;
    memory_claim &operator=(const memory_claim &) = delete;

    void resize(std::uint64_t bytes)
    {
        const std::uint64_t before = std::exchange(m_bytes, bytes);
        if (m_budget != nullptr && before != bytes) {
            m_budget->change(m_use, before, bytes);
        }
    }

    std::uint64_t bytes() const
    {
        return m_bytes;
    }

private:
    std::shared_ptr<memory_budget> m_budget;
    memory_use m_use = memory_use::CallerRequest;
    std::uint64_t m_bytes = 0;
};

} // namespace jackdawweir::core
