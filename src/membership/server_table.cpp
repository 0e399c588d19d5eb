#include <algorithm>

#include "jackdawweir/membership/view.h"
#include "jackdawweir/wire/codec.h"

namespace jackdawweir::membership {

namespace {

// Exclusive or does not depend on the order of the parts, and a second one takes a part out again.
void combine(core::digest &total, const core::digest &part)
{
    total.high ^= part.high;
    total.low ^= part.low;
}

} // namespace

bool server_table::put(const backend_server &server)
{
    const auto gone = m_departed.find(server.address);
    if (gone != m_departed.end() && gone->second >= server.incarnation) {
        return false;
    }
    const auto held = m_servers.find(server.address);
    if (held != m_servers.end()) {
        if (held->second.incarnation > server.incarnation || held->second == server) {
            return false;
        }
        flip(held->second);
    }
    m_servers[server.address] = server;
    flip(server);
    return true;
}

bool server_table::remove(const core::endpoint &address)
{
    const auto held = m_servers.find(address);
    if (held == m_servers.end()) {
        return false;
    }
    if (held->second.incarnation > 0) {
        std::uint64_t &departed = m_departed[address];
        departed = std::max(departed, held->second.incarnation - 1);
    }
    flip(held->second);
    m_servers.erase(held);
    return true;
}

bool server_table::depart(const departed_server &departed)
{
    std::uint64_t &latest = m_departed[departed.address];
    latest = std::max(latest, departed.incarnation);
    const auto held = m_servers.find(departed.address);
    if (held == m_servers.end() || held->second.incarnation > departed.incarnation) {
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

std::optional<std::uint64_t> server_table::departedOf(const core::endpoint &address) const
{
    const auto gone = m_departed.find(address);
    return gone == m_departed.end() ? std::nullopt : std::optional(gone->second);
}

void server_table::flip(const backend_server &server)
{
    combine(m_digests[server.service], core::digestOf(wire::encodeValue(server)));
}

} // namespace jackdawweir::membership
