#include "jackdawweir/forwarding/server_notices.h"

namespace jackdawweir::forwarding {

server_notices::server_notices(const server_notice_settings &settings)
    : m_settings(settings)
{
}

void server_notices::record(const fleet::instance_name &instance,
                            const server_statement &stated,
                            core::monotonic_time now)
{
    const auto held = m_notices.find(instance);
    if (held == m_notices.end()) {
        if (stated.requestsPerSecond > 0 || stated.isLeaving) {
            m_notices.emplace(instance, notice{stated, now});
        }
        return;
    }
    server_statement &known = held->second.stated;
    if (stated.startedAt < known.startedAt) {
        return;
    }
    // A later process of the node beside the server may not have been told of the leave yet.
    const bool wasLeaving = known.isLeaving && known.startedAt == stated.startedAt;
    known = stated;
    known.isLeaving = known.isLeaving || wasLeaving;
    held->second.recordedAt = now;
}

server_statement server_notices::find(const fleet::instance_name &instance,
                                      std::chrono::milliseconds startedAt) const
{
    const auto held = m_notices.find(instance);
    return held == m_notices.end() || held->second.stated.startedAt < startedAt
        ? server_statement{}
        : held->second.stated;
}

bool server_notices::isLeaving(const fleet::instance_name &instance,
                               std::chrono::milliseconds startedAt) const
{
    return find(instance, startedAt).isLeaving;
}

void server_notices::expire(core::monotonic_time now)
{
    std::erase_if(m_notices, [&](const auto &each) {
        return now >= each.second.recordedAt + m_settings.retention;
    });
}

} // namespace jackdawweir::forwarding
