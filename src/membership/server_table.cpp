#include <algorithm>

#include "jackdawweir/membership/view.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::membership {

namespace {

// Exclusive or makes the total independent of the order of the parts; combining the same part again
// removes it.
void combine(core::digest &total, const core::digest &part)
{
    total.high ^= part.high;
    total.low ^= part.low;
}

} // namespace

bool server_table::put(const backend_server &server)
{
    const auto departedEntry = m_departed.find(server.address);
    if (departedEntry != m_departed.end() && departedEntry->second >= server.incarnation) {
        return false;
    }
    const auto existing = m_servers.find(server.address);
    if (existing != m_servers.end()) {
        if (existing->second.incarnation > server.incarnation || existing->second == server) {
            return false;
        }
        toggleInDigest(existing->second);
    }
    m_servers[server.address] = server;
    toggleInDigest(server);
    return true;
}

bool server_table::remove(const core::endpoint &address)
{
    const auto existing = m_servers.find(address);
    if (existing == m_servers.end()) {
        return false;
    }
    if (existing->second.incarnation > 0) {
        std::uint64_t &departed = m_departed[address];
        departed = std::max(departed, existing->second.incarnation - 1);
    }
    toggleInDigest(existing->second);
    m_servers.erase(existing);
    return true;
}

bool server_table::markDeparted(const departed_server &departed)
{
    std::uint64_t &latest = m_departed[departed.address];
    latest = std::max(latest, departed.incarnation);
    const auto existing = m_servers.find(departed.address);
    if (existing == m_servers.end() || existing->second.incarnation > departed.incarnation) {
        return false;
    }
    return remove(departed.address);
}

core::digest server_table::digestOf(const std::set<core::service_name> *services) const
{
    core::digest total;
    if (services == nullptr) {
        for (const auto &[service, part] : m_digests) {
            combine(total, part);
        }
        return total;
    }
    for (const core::service_name &service : *services) {
        const auto part = m_digests.find(service);
        if (part != m_digests.end()) {
            combine(total, part->second);
        }
    }
    return total;
}

const std::map<core::endpoint, backend_server> &server_table::servers() const
{
    return m_servers;
}

std::vector<departed_server> server_table::departed() const
{
    std::vector<departed_server> listed;
    for (const auto &[address, incarnation] : m_departed) {
        if (m_servers.find(address) == m_servers.end()) {
            listed.push_back(departed_server{address, incarnation});
        }
    }
    return listed;
}

std::optional<std::uint64_t> server_table::departedIncarnation(const core::endpoint &address) const
{
    const auto departedEntry = m_departed.find(address);
    return departedEntry == m_departed.end() ? std::nullopt : std::optional(departedEntry->second);
}

void server_table::toggleInDigest(const backend_server &server)
{
    combine(m_digests[server.service], core::digestOf(wire::encodeValue(server)));
}

} // namespace jackdawweir::membership
