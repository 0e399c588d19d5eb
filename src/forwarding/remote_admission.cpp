#include "jackdawweir/forwarding/remote_admission.h"

#include <cmath>
#include <random>

namespace jackdawweir::forwarding {

remote_admission::remote_admission(const remote_admission_settings &settings)
    : m_settings(settings)
{
}

double remote_admission::refusalRateAt(const observed_rate &observed,
                                       core::monotonic_time now) const
{
    const double halfLives = std::chrono::duration<double>(now - observed.observedAt)
        / std::chrono::duration<double>(m_settings.halfLife);
    return observed.refusalRate * std::exp2(-halfLives);
}

void remote_admission::record(const core::service_name &service,
                              bool isAdmitted,
                              core::monotonic_time now)
{
    observed_rate &observed = m_services[service];
    observed.refusalRate = refusalRateAt(observed, now) * (1 - m_settings.weight)
        + (isAdmitted ? 0.0 : m_settings.weight);
    observed.observedAt = now;
}

bool remote_admission::isLikely(const core::service_name &service,
                                core::monotonic_time now,
                                core::random_engine &engine) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || refusalRateAt(found->second, now) <= 1 - m_settings.minRate) {
        return true;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    return draw(engine) < m_settings.probeFraction;
}

} // namespace jackdawweir::forwarding
