#include "jackdawweir/quota/host_census.h"

#include <iterator>

namespace jackdawweir::quota {

host_census::host_census(std::chrono::milliseconds rememberFor)
    : m_rememberFor(rememberFor)
{
}

void host_census::update(const std::vector<listed_host> &listed, core::monotonic_time now)
{
    for (auto &[host, known] : m_hosts) {
        if (!known.unlistedAt) {
            known.unlistedAt = now;
        }
    }
    for (const listed_host &each : listed) {
        m_hosts[each.host] = known_host{each.isLeaving, std::nullopt};
    }
    std::erase_if(m_hosts,
                  [](const auto &each) { return each.second.unlistedAt && each.second.isLeaving; });
}

node_place host_census::placeOf(const core::host_name &host, core::monotonic_time now)
{
    std::erase_if(m_hosts, [&](const auto &each) {
        return each.second.unlistedAt && now >= *each.second.unlistedAt + m_rememberFor;
    });
    m_hosts.try_emplace(host);
    node_place place;
    place.nodes = static_cast<std::uint32_t>(m_hosts.size());
    place.rank = static_cast<std::uint32_t>(std::distance(m_hosts.begin(), m_hosts.find(host)));
    return place;
}

} // namespace jackdawweir::quota
