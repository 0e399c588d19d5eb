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
        if (stated.requestsPerSecond > 0) {
            m_notices.emplace(instance, notice{stated, now});
        }
        return;
    }
    server_statement &known = held->second.stated;
    if (stated.startedAt < known.startedAt) {
        return;
    }
    known = stated;
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

void server_notices::expire(core::monotonic_time now)
{
    std::erase_if(m_notices, [&](const auto &each) {
        return now >= each.second.recordedAt + m_settings.retention;
    });
}

} // namespace jackdawweir::forwarding
