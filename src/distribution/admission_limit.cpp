#include "jackdawweir/distribution/admission_limit.h"

#include <algorithm>

namespace jackdawweir::distribution {

namespace {

// Each block of this size in the reply costs one unit.
constexpr std::size_t costBlockBytes = 16U << 10U;

double costOf(std::size_t replyBytes)
{
    const std::size_t blocks = replyBytes / costBlockBytes;
    return 1.0 + static_cast<double>(blocks);
}

} // namespace

admission_limit::admission_limit(admission_settings settings)
    : m_settings(settings)
    , m_tokens(settings.burst)
{
}

bool admission_limit::admit(std::size_t replyBytes, core::monotonic_time now)
{
    if (m_started) {
        const std::chrono::duration<double> passed = now - m_refilledAt;
        m_tokens = std::min<double>(m_settings.burst,
                                    m_tokens + passed.count() * m_settings.ratePerSecond);
    }
    m_started = true;
    m_refilledAt = now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= m_settings.policy == admission_policy::ByCost ? costOf(replyBytes) : 1.0;
    return true;
}

} // namespace jackdawweir::distribution
