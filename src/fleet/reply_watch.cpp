#include "jackdawweir/fleet/reply_watch.h"

#include <algorithm>

namespace jackdawweir::fleet {

reply_watch::reply_watch(const reply_watch_settings &settings)
    : m_settings(settings)
    , m_timeout(settings.timeout)
{
}

void reply_watch::sent(core::monotonic_time now)
{
    if (!m_awaitedSince) {
        m_awaitedSince = now;
    }
}

void reply_watch::received()
{
    m_awaitedSince.reset();
    m_timeout = m_settings.timeout;
}

bool reply_watch::takeOverdue(core::monotonic_time now)
{
    if (!m_awaitedSince || now < *m_awaitedSince + m_timeout) {
        return false;
    }
    m_awaitedSince.reset();
    m_timeout = std::min(2 * m_timeout, m_settings.maxTimeout);
    return true;
}

} // namespace jackdawweir::fleet
