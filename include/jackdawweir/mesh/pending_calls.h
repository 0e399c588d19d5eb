// The calls of one kind that wait for the reply of a peer.
//
//     pending_calls<command_handler> calls;
//     calls.add(number, leader, handler, deadline);
//     if (const auto call = calls.take(reply.number, peer)) { call->handler(reply.result); }
//     for (const auto &call : calls.takeExpired(now)) { call.handler(std::nullopt); }

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jackdawweir/core/clock.h"
#include "jackdawweir/core/names.h"

namespace jackdawweir::mesh {

template<typename Handler>
class pending_calls
{
public:
    struct pending_call {
        core::endpoint peer;
        Handler handler;
        core::monotonic_time deadline;
    };

    // The number must be unique among all starts of the process; see core::call_numbers.
    void add(std::uint64_t number,
             const core::endpoint &peer,
             Handler handler,
             core::monotonic_time deadline)
    {
        m_calls[number] = pending_call{peer, std::move(handler), deadline};
    }

    // Ends a call with the reply of a peer. Returns nothing if no call with this number waits for
    // this peer.
    std::optional<pending_call> take(std::uint64_t number, const core::endpoint &peer)
    {
        const auto found = m_calls.find(number);
        if (found == m_calls.end() || found->second.peer != peer) {
            return std::nullopt;
        }
        std::optional<pending_call> taken = std::move(found->second);
        m_calls.erase(found);
        return taken;
    }

    // Ends the calls whose deadline has passed.
    std::vector<pending_call> takeExpired(core::monotonic_time now)
    {
        std::vector<pending_call> expired;
        for (auto each = m_calls.begin(); each != m_calls.end();) {
            if (now < each->second.deadline) {
                ++each;
                continue;
            }
            expired.push_back(std::move(each->second));
            each = m_calls.erase(each);
        }
        return expired;
    }

private:
    std::map<std::uint64_t, pending_call> m_calls;
};

} // namespace jackdawweir::mesh
