#include "jackdawweir/forwarding/cold_state.h"

#include <algorithm>

namespace jackdawweir::forwarding {

using std::chrono::milliseconds;

cold_state::cold_state(const cold_state_settings &settings)
    : m_settings(settings)
{
}

void cold_state::announced(milliseconds coldFor, core::monotonic_time now)
{
    m_coldUntil = std::max(m_coldUntil, now + coldFor);
    const bool isLater = m_suspectedAt && now >= *m_suspectedAt + m_settings.announcementDelay;
    if (coldFor > milliseconds(0) || isLater) {
        m_suspectedAt.reset();
    }
}

void cold_state::suspect(core::monotonic_time now)
{
    m_suspectedAt = now;
}

void cold_state::checked(milliseconds coldFor, core::monotonic_time now)
{
    m_coldUntil = std::max(m_coldUntil, now + coldFor);
    m_suspectedAt.reset();
}

bool cold_state::isCold(core::monotonic_time now) const
{
    return isUncertain() || now < m_coldUntil;
}

bool cold_state::isUncertain() const
{
    return m_suspectedAt.has_value();
}

milliseconds cold_state::remaining(core::monotonic_time now) const
{
    const milliseconds known = std::chrono::ceil<milliseconds>(
        std::max(m_coldUntil - now, core::monotonic_time::duration(0)));
    return isUncertain() ? std::max(known, m_settings.suspectedFor) : known;
}

} // namespace jackdawweir::forwarding
