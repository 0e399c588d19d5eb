#include "jackdawweir/membership/announcement_table.h"

#include <algorithm>
#include <utility>

#include "jackdawweir/membership/settings.h"

namespace jackdawweir::membership {

namespace {

core::error conflict(const backend_server &announced, std::string message)
{
    return core::error{
        core::error_code::Conflict, "announce", announced.address.value, std::move(message)};
}

} // namespace

core::status announcement_table::announce(const backend_server &announced, core::monotonic_time now)
{
    const auto departed = m_departed.find(announced.address);
    if (departed != m_departed.end() && departed->second.incarnation >= announced.incarnation) {
        return conflict(announced, "this start withdrew or an earlier one announces itself");
    }
    const auto held = m_entries.find(announced.address);
    if (held != m_entries.end()) {
        const backend_server &known = held->second.server;
        if (announced.incarnation < known.incarnation) {
            return conflict(announced, "a later start is announced");
        }
        // States only advance in one start, so a lower one was overtaken on its way.
        if (announced.incarnation == known.incarnation && announced.state < known.state) {
            return conflict(announced, "a later state is announced");
        }
    }
    m_entries[announced.address] = entry{announced, now + leaseDuration};
    return core::okStatus();
}

void announcement_table::withdraw(const core::endpoint &address,
                                  std::uint64_t incarnation,
                                  core::monotonic_time now)
{
    const auto held = m_entries.find(address);
    if (held != m_entries.end()) {
        if (held->second.server.incarnation > incarnation) {
            return;
        }
        m_entries.erase(held);
    }
    depart(address, incarnation, now);
}

bool announcement_table::tick(core::monotonic_time now)
{
    std::erase_if(m_departed, [now](const auto &each) { return each.second.forgottenAt <= now; });
    bool expired = false;
    for (auto next = m_entries.begin(); next != m_entries.end();) {
        if (now < next->second.leaseUntil) {
            ++next;
            continue;
        }
        // A start that only fell silent may come back, but no earlier one; one that drained has
        // left for good.
        const backend_server &server = next->second.server;
        const bool hasLeft = server.state == server_state::Draining;
        if (server.incarnation > 0) {
            depart(server.address, server.incarnation - (hasLeft ? 0 : 1), now);
        }
        next = m_entries.erase(next);
        expired = true;
    }
    return expired;
}

std::vector<backend_server> announcement_table::servers() const
{
    std::vector<backend_server> listed;
    for (const auto &[address, held] : m_entries) {
        listed.push_back(held.server);
    }
    return listed;
}

std::vector<departed_server> announcement_table::departed() const
{
    std::vector<departed_server> listed;
    for (const auto &[address, gone] : m_departed) {
        listed.push_back(departed_server{address, gone.incarnation});
    }
    return listed;
}

void announcement_table::depart(const core::endpoint &address,
                                std::uint64_t incarnation,
                                core::monotonic_time now)
{
    departure &gone = m_departed[address];
    gone.incarnation = std::max(gone.incarnation, incarnation);
    gone.forgottenAt = now + departedKept;
}

} // namespace jackdawweir::membership
