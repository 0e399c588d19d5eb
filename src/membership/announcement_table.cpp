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
    const auto existing = m_entries.find(announced.address);
    if (existing != m_entries.end()) {
        const backend_server &known = existing->second.server;
        if (announced.incarnation < known.incarnation) {
            return conflict(announced, "a later start is announced");
        }
        // Within one incarnation the state only advances, so a lower state is a reordered message.
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
    const auto existing = m_entries.find(address);
    if (existing != m_entries.end()) {
        if (existing->second.server.incarnation > incarnation) {
            return;
        }
        m_entries.erase(existing);
    }
    markDeparted(address, incarnation, now);
}

bool announcement_table::tick(core::monotonic_time now)
{
    std::erase_if(m_departed, [now](const auto &each) { return each.second.expiresAt <= now; });
    bool expired = false;
    for (auto next = m_entries.begin(); next != m_entries.end();) {
        if (now < next->second.leaseUntil) {
            ++next;
            continue;
        }
        // An incarnation whose lease expired may announce itself again, but no earlier one may. An
        // incarnation that was draining is rejected as well.
        const backend_server &server = next->second.server;
        const bool hasLeft = server.state == server_state::Draining;
        if (server.incarnation > 0) {
            markDeparted(server.address, server.incarnation - (hasLeft ? 0 : 1), now);
        }
        next = m_entries.erase(next);
        expired = true;
    }
    return expired;
}

std::vector<backend_server> announcement_table::servers() const
{
    std::vector<backend_server> listed;
    for (const auto &[address, existing] : m_entries) {
        listed.push_back(existing.server);
    }
    return listed;
}

std::vector<departed_server> announcement_table::departed() const
{
    std::vector<departed_server> listed;
    for (const auto &[address, record] : m_departed) {
        listed.push_back(departed_server{address, record.incarnation});
    }
    return listed;
}

void announcement_table::markDeparted(const core::endpoint &address,
                                      std::uint64_t incarnation,
                                      core::monotonic_time now)
{
    departure &record = m_departed[address];
    record.incarnation = std::max(record.incarnation, incarnation);
    record.expiresAt = now + departedRetention;
}

} // namespace jackdawweir::membership
